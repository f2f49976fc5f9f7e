"""Examples in doc comments are expressions that hold in their module."""

import ast
import importlib
import pathlib
import re

import pytest

PACKAGE = pathlib.Path(__file__).parent
EXAMPLE = re.compile(r"Example: ``(.*?)``", re.DOTALL)
DOCUMENTED = (ast.Module, ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef)


def doc_examples() -> list[tuple[str, str]]:
    """Module and expression of each ``Example:`` line in the package's doc comments."""
    found = []
    for path in sorted(PACKAGE.rglob("*.py")):
        module = ".".join(path.relative_to(PACKAGE.parent).with_suffix("").parts)
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, DOCUMENTED) and path != pathlib.Path(__file__):
                found += [(module, " ".join(each.split())) for each in EXAMPLE.findall(ast.get_docstring(node) or "")]
    return found


@pytest.mark.parametrize(("module", "expression"), doc_examples())
def test_an_example_in_a_doc_comment_holds(module, expression):
    assert eval(expression, dict(vars(importlib.import_module(module))))
