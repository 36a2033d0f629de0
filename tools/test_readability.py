"""Tests of the commands in this directory, on small snippets. Run: python3 -m unittest discover -s tools"""

import sys
import unittest
from importlib.machinery import SourceFileLoader
from importlib.util import module_from_spec, spec_from_loader
from pathlib import Path

import rust_source

sys.dont_write_bytecode = True


def load(command):
    path = Path(__file__).resolve().parent / command
    loader = SourceFileLoader(command.replace("-", "_"), str(path))
    module = module_from_spec(spec_from_loader(loader.name, loader))
    loader.exec_module(module)
    return module


readability, withdrawn_names, test_names = load("readability"), load("withdrawn-names"), load("test-names")


def undocumented(text):
    """The first word after `pub` markers of each item without a doc comment."""
    code = rust_source.mask(text)
    found = [offset for offset, known in rust_source.public_items(text, code) if not known]
    return sorted(code[offset:].split("\n")[0].strip() for offset in found)


class Masking(unittest.TestCase):
    def test_comments_and_literals_become_spaces_and_lines_stay(self):
        text = 'a("x{\\"{", r#"{"#, b"{", \'{\', \'\\\'\') // {\n/* {\n */ b'
        masked = rust_source.mask(text)
        self.assertNotIn("{", masked)
        self.assertEqual((len(masked), masked.count("\n")), (len(text), text.count("\n")))
        self.assertTrue(masked.endswith("b"))

    def test_lifetimes_are_no_characters(self):
        text = "fn a<'a, 'b>(x: &'a str, y: &'b str) {}"
        self.assertEqual(rust_source.mask(text), text)


class Functions(unittest.TestCase):
    def lines(self, text):
        return [(name, lines) for name, _, lines in rust_source.functions(rust_source.mask(text))]

    def test_a_body_is_counted_to_its_own_brace(self):
        self.assertEqual(self.lines('fn a() {\n  "}";\n  if b { }\n}\nfn c() {}\n'), [("a", 4), ("c", 1)])

    def test_array_lengths_do_not_end_a_signature_and_declarations_have_no_lines(self):
        self.assertEqual(self.lines("fn a() -> [u8; 4] {\n}\ntrait T { fn b(&self); }"), [("a", 2), ("b", 0)])

    def test_function_pointers_are_no_functions(self):
        self.assertEqual(self.lines("struct S { call: fn(u8) -> u8 }"), [])

    def test_string_errors_are_found_in_signatures(self):
        for signature in ["fn a() -> Result<u8, String>", "fn a(f: impl Fn() -> Result<Vec<(u8, u8)>, String>)"]:
            self.assertTrue(rust_source.has_string_error(signature), signature)
        for signature in ["fn a() -> Result<String, E>", "fn a() -> io::Result<String>", "fn a(e: String)"]:
            self.assertFalse(rust_source.has_string_error(signature), signature)


class PublicItems(unittest.TestCase):
    def test_items_fields_and_variants_need_a_doc_comment(self):
        text = "pub struct S {\n    pub a: u8,\n    b: u8,\n}\npub enum E {\n    C(u8, u8),\n    D { e: u8 },\n}\n"
        self.assertEqual(undocumented(text), ["C(u8, u8),", "D { e: u8 },", "pub a: u8,", "pub enum E {", "pub struct S {"])

    def test_doc_comments_count_before_attributes_too(self):
        text = '/// A.\n#[derive(Clone)]\n#[serde(rename = "x]")]\npub enum E {\n    /// B.\n    #[x]\n    B,\n}\n'
        self.assertEqual(undocumented(text), [])

    def test_the_comment_of_the_item_before_does_not_count(self):
        self.assertEqual(undocumented("/// A.\npub const fn a() {}\n// Plain.\npub fn b() {}\n"), ["pub fn b() {}"])

    def test_items_of_the_crate_alone_are_not_public(self):
        self.assertEqual(undocumented("pub(crate) fn a() {}\npub use b::C;\npub(super) struct D;\n"), [])


class Circles(unittest.TestCase):
    def circles(self, **files):
        paths = {name.replace("__", "/") + ".rs": rust_source.mask(text) for name, text in files.items()}
        return rust_source.Modules(paths).circles()

    def test_two_files_that_import_each_other_are_a_circle(self):
        self.assertEqual(self.circles(lib="mod a; mod b;", a="use crate::b::B;", b="use super::a::{A, C};"), [2])

    def test_a_line_of_imports_is_none(self):
        self.assertEqual(self.circles(lib="mod a; mod b; mod c;", a="use crate::{b::B, c};", b="use crate::c::C;", c=""), [])

    def test_a_path_in_code_counts_and_one_in_a_comment_does_not(self):
        files = {"lib": "mod a; mod b;", "a": "fn f() { crate::b::g() }"}
        self.assertEqual(self.circles(**files, b="fn g() { crate::a::f() }"), [2])
        self.assertEqual(self.circles(**files, b="// crate::a::f()"), [])

    def test_re_exports_of_the_root_lead_to_the_module_behind(self):
        files = {"lib": "mod a; mod b;\npub use a::A;\npub use b::B as C;", "b": "use crate::A;"}
        self.assertEqual(self.circles(**files, a="struct A;"), [])
        self.assertEqual(self.circles(**files, a="use crate::B;"), [2])

    def test_a_parent_that_uses_a_child_that_uses_it_is_a_circle(self):
        self.assertEqual(self.circles(lib="mod a;", a="mod b; use b::B; struct A;", a__b="use super::A;"), [2])

    def test_test_modules_do_not_import_for_their_file(self):
        files = {"lib": "mod a; mod b;", "a": "use crate::b::B;"}
        self.assertEqual(self.circles(**files, b="#[cfg(test)]\nmod tests { use crate::a::A; }"), [])


class WithdrawnNames(unittest.TestCase):
    words = withdrawn_names.WordList("[withdrawn]\nword\nhand_off\n^most\n=Way\n[allow]\nroot:word_size - std's\n")

    def found(self, text, package="root"):
        return [name for _, name, _ in withdrawn_names.withdrawn_in(self.words, package, rust_source.mask(text))]

    def test_segments_of_snake_and_camel_case_are_words(self):
        self.assertEqual(self.found("PeerWord peer_word WORD words sword Sword HandOff hand_over"), [
            "PeerWord", "peer_word", "WORD", "HandOff",
        ])  # fmt: skip

    def test_prefixes_and_whole_identifiers_are_judged_as_such(self):
        self.assertEqual(self.found("MOST_ROWS most at_most Way by_way Ways"), ["MOST_ROWS", "Way"])

    def test_strings_comments_and_lifetimes_are_left_out(self):
        self.assertEqual(self.found('"word" // word\n\'word r#word'), ["word"])

    def test_allowed_identifiers_are_so_in_their_package(self):
        self.assertEqual(self.found("word_size"), [])
        self.assertEqual(self.found("word_size", package="other"), ["word_size"])

    def test_an_allowed_identifier_needs_a_reason(self):
        with self.assertRaises(ValueError):
            withdrawn_names.WordList("[allow]\nword_size\n")

    def test_finished_packages_fail_and_the_others_are_counted(self):
        sources = {"crates/a/src/lib.rs": "fn word() {}", "crates/a/tests/t.rs": "fn word() {}"}
        found, unfinished = withdrawn_names.faults(sources, self.words, set())
        self.assertEqual((found, dict(unfinished)), ([], {"a": 1}))
        found, unfinished = withdrawn_names.faults(sources, self.words, {"a"})
        self.assertEqual((len(found), dict(unfinished)), (2, {}))

    def test_a_finished_package_that_denies_missing_docs_passes(self):
        sources = {"crates/a/src/lib.rs": "#![deny(missing_docs)]\n", "crates/a/src/main.rs": "\n"}
        self.assertEqual(withdrawn_names.faults(sources, self.words, {"a"})[0], [])

    def test_an_unknown_finished_package_fails(self):
        self.assertEqual(len(withdrawn_names.faults({}, self.words, {"a"})[0]), 1)


class Counting(unittest.TestCase):
    def test_counts_are_per_package_and_in_all(self):
        sources = {"crates/fernknot-sluice/src/lib.rs": "pub fn a() { b.unwrap() }\n", "src/lib.rs": "\n" * 501}
        counts, _ = readability.count(sources, withdrawn_names)
        self.assertEqual((counts["fernknot-gateway"]["undocumented"], counts["all"]["unwrap"]), (1, 1))
        self.assertEqual((counts["fernknot"]["long_files"], counts["all"]["files"]), (1, 2))

    def test_a_module_may_be_documented_in_its_file(self):
        sources = {"src/lib.rs": "pub mod a;\npub mod b;\n", "src/a.rs": "//! A.\n", "src/b.rs": ""}
        self.assertEqual(readability.count(sources, withdrawn_names)[0]["fernknot"]["undocumented"], 1)


class TestNames(unittest.TestCase):
    def test_missing_moved_and_new_tests_are_told_apart(self):
        before = [("a", "lib", "x::one"), ("a", "lib", "x::two"), ("a", "lib", "three")]
        after = [("a", "lib", "three"), ("a", "test t", "one"), ("a", "lib", "four")]
        missing, moved, new = test_names.compare(before, after)
        self.assertEqual((missing, new), ([("a", "lib", "x::two")], [("a", "lib", "four")]))
        self.assertEqual(moved, [(("a", "lib", "x::one"), ("a", "test t", "one"))])

    def test_a_test_counts_as_often_as_it_is_listed(self):
        missing, _, _ = test_names.compare([("a", "doc", "x")] * 2, [("a", "doc", "x")])
        self.assertEqual(len(missing), 1)


if __name__ == "__main__":
    unittest.main()
