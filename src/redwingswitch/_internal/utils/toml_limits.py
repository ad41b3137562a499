"""Limits of a TOML text that keep its parser from failing or from taking minutes."""

from __future__ import annotations

import re
from typing import NamedTuple

# The parser recurses for each level and raises RecursionError beyond about 480. No file of this
# project nests values more than three levels deep.
MAX_NESTING = 32
# The time for a dotted key grows with the square of its parts: 30,000 take 4 s. No key of a file of
# this project has more than three.
MAX_KEY_PARTS = 4
# The interpreter refuses to convert an integer of more than 4,300 digits, without naming its line.
MAX_WORD_CHARS = 1_000

# A string that does not end extends to the end of its line or of the text, so that each character
# is matched once. A string of several lines may end with one or two quotes before its delimiter.
_TOKEN_PATTERN = re.compile(
    r"(?P<string>"
    r'"""(?:[^"\\]|\\.|"(?!""))*+(?:"{3,5})?|'
    r"'''(?:[^']|'(?!''))*+(?:'{3,5})?|"
    r'"(?:[^"\\\n]|\\[^\n])*+"?|'
    r"'[^'\n]*+'?)"
    r"|(?P<comment>#[^\n]*+)|(?P<word>[A-Za-z0-9_+-]++)|(?P<dot>\.)|(?P<open>[\[{])"
    r"|(?P<close>[\]}])|(?P<other>[^ \t])",
    re.DOTALL,
)


class ExceededLimit(NamedTuple):
    """The first place at which a text exceeds a limit."""

    line: int
    problem: str
    remedy: str


def find_exceeded_limit(text: str) -> ExceededLimit | None:
    """Return where a text exceeds a limit, or None if it does not; takes linear time."""
    depth, dots = 0, 0
    for match in _TOKEN_PATTERN.finditer(text):
        kind = match.lastgroup
        problem = None
        if kind == "open":
            depth += 1
            if depth > MAX_NESTING:
                problem = f"nested more than {MAX_NESTING} levels deep"
        elif kind == "close":
            depth = max(0, depth - 1)
        elif kind == "dot":
            dots += 1
            if dots >= MAX_KEY_PARTS:
                problem = f"a key of more than {MAX_KEY_PARTS} parts"
        elif kind == "word" and len(match[0]) > MAX_WORD_CHARS:
            problem = f"a number or key of more than {MAX_WORD_CHARS} characters"
        if kind not in ("dot", "word", "string"):
            dots = 0
        if problem is not None:
            line = text.count("\n", 0, match.start()) + 1
            return ExceededLimit(line, problem, "shorten it")
    return None
