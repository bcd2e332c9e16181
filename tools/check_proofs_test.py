#!/usr/bin/env python3
"""check_proofs.py fails on each name that does not hold."""

import unittest

import check_proofs
from check_proofs import ctest_run, ctest_test

LISTING = """engine: 2 tests
├── answers
└── refuses
"""

LOG = """1/2 Testing: core_engine_test
1/2 Test: core_engine_test
[====] Synthesis: Tested: 2 | Passing: 2 | Failing: 0 | Crashing: 0
Test Passed.
2/2 Testing: core_other_test
2/2 Test: core_other_test
Test Failed.
"""


def check(cell, run=ctest_run(True, 2), red=()):
    page = f"| Promise | Property tests |\n|---|---|\n| one | {cell} |\n"
    tests = {"core_engine_test": ctest_test(["engine"], run)}
    return list(check_proofs.problems(
        page, tests, set(red),
        lambda command: check_proofs.read_listing(LISTING)))


class check_proofs_test(unittest.TestCase):
    def test_names_that_exist_and_ran_pass(self):
        self.assertEqual(
            check("`core_engine_test`, `core_engine_test:answers`"), [])

    def test_a_missing_test_fails(self):
        self.assertEqual(check("`core_engin_test`"), [
            "one, Property tests: core_engin_test: CTest has no such test"])

    def test_a_missing_case_fails(self):
        self.assertEqual(check("`core_engine_test:answer`"), [
            "one, Property tests: core_engine_test:answer: "
            "the program has no such case"])

    def test_a_test_that_did_not_run_or_failed_fails(self):
        self.assertIn("did not run", check("`core_engine_test`", None)[0])
        self.assertIn("failed", check("`core_engine_test`",
                                      ctest_run(False, 2))[0])

    def test_a_known_red_test_need_not_have_run(self):
        self.assertEqual(check("`core_engine_test:answers`", None,
                               ["core_engine_test"]), [])

    def test_a_case_that_was_passed_over_fails(self):
        self.assertIn("ran 1 of its 2 cases", check(
            "`core_engine_test:answers`", ctest_run(True, 1))[0])

    def test_an_empty_cell_fails_and_none_passes(self):
        self.assertEqual(len(check("")), 1)
        self.assertEqual(len(check("some tests")), 1)
        self.assertEqual(check("none"), [])

    def test_a_page_without_table_fails(self):
        self.assertEqual(len(list(check_proofs.problems("", {}, set()))), 1)

    def test_a_row_with_a_cell_too_few_fails(self):
        page = "| P | Property tests |\n|---|---|\n| one |\n"
        self.assertEqual(len(list(check_proofs.problems(page, {}, set()))), 1)

    def test_the_log_tells_what_passed(self):
        self.assertEqual(check_proofs.read_log(LOG), {
            "core_engine_test": ctest_run(True, 2),
            "core_other_test": ctest_run(False, None)})


if __name__ == "__main__":
    unittest.main()
