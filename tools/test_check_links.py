"""Tests of `check-links` on small pages. Run: python3 -m unittest discover -s tools"""

import unittest

from test_readability import load

check_links = load("check-links")


def page_faults(**pages):
    """Faults of pages `docs/NAME.md` in a repository that has a `README.md` and `src/lib.rs` beside them."""
    texts = {f"docs/{name}.md": text for name, text in pages.items()} | {"README.md": "# Root\n"}
    return list(check_links.page_faults(texts, {*texts, "src/lib.rs"}))


class Pages(unittest.TestCase):
    def test_files_and_directories_are_found_from_the_page(self):
        self.assertEqual(page_faults(a="[b](b.md) [root](../README.md) [src](../src) [lib](../src/lib.rs)", b=""), [])

    def test_a_missing_file_is_named_with_its_line(self):
        self.assertEqual(page_faults(a="one\n\n[b](b.md) and [up](../b.md)"), [
            "docs/a.md:3: no file docs/b.md",
            "docs/a.md:3: no file b.md",
        ])

    def test_a_path_from_the_root_is_no_relative_link(self):
        self.assertEqual(page_faults(a="[b](docs/b.md)", b=""), ["docs/a.md:1: no file docs/docs/b.md"])

    def test_reference_links_count(self):
        self.assertEqual(page_faults(a="see [b]\n\n[b]: b.md"), ["docs/a.md:3: no file docs/b.md"])

    def test_links_elsewhere_are_not_followed(self):
        self.assertEqual(page_faults(a="[x](https://example.org/x.md) [m](mailto:a@example.org)"), [])

    def test_code_holds_no_links(self):
        self.assertEqual(page_faults(a="`[b](b.md)`\n\n```\n[b](b.md)\n```\n"), [])

    def test_links_behind_a_code_block_keep_their_line(self):
        self.assertEqual(page_faults(a="```\ncode\n```\n[b](b.md)"), ["docs/a.md:4: no file docs/b.md"])

    def test_links_on_indented_lines_count(self):
        self.assertEqual(page_faults(a="- item\n    more [b](b.md)"), ["docs/a.md:2: no file docs/b.md"])


class Anchors(unittest.TestCase):
    def test_headings_are_found_on_this_and_on_another_page(self):
        self.assertEqual(page_faults(a="# Top\n[here](#top) [there](b.md#far-away)", b="## Far away\n"), [])

    def test_a_missing_heading_is_named(self):
        self.assertEqual(page_faults(a="[b](b.md#near)", b="## Far\n"), ["docs/a.md:1: no heading #near in docs/b.md"])

    def test_punctuation_and_code_marks_are_left_off(self):
        headings = "## The newest bench (497b98)\n## `LATER`, and [MORE](more.md)\n## One_two - three\n"
        expected = {"the-newest-bench-497b98", "later-and-more", "one_two---three"}
        self.assertEqual(check_links.anchors(headings), expected)

    def test_a_heading_that_occurs_again_gets_a_number(self):
        self.assertEqual(check_links.anchors("## Rules\n## Rules\n## Rules\n"), {"rules", "rules-1", "rules-2"})

    def test_comments_in_code_are_no_headings(self):
        self.assertEqual(check_links.anchors("```\n# comment\n```\n"), set())


class Sources(unittest.TestCase):
    def test_a_named_page_must_exist(self):
        sources = {"src/lib.rs": "//! See `docs/a.md`,\n//! and docs/history/b.md."}
        found = list(check_links.source_faults(sources, {"docs/a.md"}))
        self.assertEqual(found, ["src/lib.rs:2: no page docs/history/b.md"])


class Choice(unittest.TestCase):
    def test_records_of_the_bench_are_left_alone(self):
        self.assertFalse(check_links.is_checked("journal/entry.md"))
        self.assertTrue(check_links.is_checked("docs/incidents/entry.md"))


if __name__ == "__main__":
    unittest.main()
