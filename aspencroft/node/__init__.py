"""One process of the cluster, its settings and its operators' HTTP interface."""
