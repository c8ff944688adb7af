"""Tests of the digest by which two states of the sources are told apart."""

import importlib

import pytest

from mimosaloom_relay import read_code_version


@pytest.fixture
def load_copy(tmp_path, monkeypatch):
    """Return a function that loads a package with one module from a new folder."""

    def load(folder, source):
        package = tmp_path / folder / "somepackage"
        package.mkdir(parents=True)
        (package / "__init__.py").write_text("")
        (package / "module.py").write_text(source)
        monkeypatch.syspath_prepend(package.parent)
        monkeypatch.delitem(importlib.sys.modules, "somepackage", raising=False)
        return importlib.import_module("somepackage")

    return load


def test_copy_of_an_earlier_state_has_another_digest(load_copy):
    """Guards against a node that runs an old copy of the sources unnoticed."""
    old, new = load_copy("old", "LIMIT = 1"), load_copy("new", "LIMIT = 2")
    same = load_copy("same", "LIMIT = 2")
    digests = [read_code_version([package]).digest for package in (old, new, same)]
    assert digests[0] != digests[1] == digests[2]


def test_folder_of_the_loaded_copy_is_named(load_copy, tmp_path):
    """Guards against a version that names the checkout and not the files in use."""
    package = load_copy("copy", "LIMIT = 1")
    assert read_code_version([package, package]).folders == (str(tmp_path / "copy"),)


def test_names_of_the_files_count(load_copy):
    """Guards against code that is moved between modules without a new digest."""
    first, second = load_copy("first", "LIMIT = 1"), load_copy("second", "LIMIT = 1")
    module = second.__path__[0] + "/module.py"
    importlib.import_module("os").rename(module, module.replace("module", "other"))
    assert read_code_version([first]).digest != read_code_version([second]).digest
