"""Reads Rust source as text: files of a revision, packages, identifiers, functions, public items and imports.

This is no parser. Strings and comments are blanked first; brackets, keywords and paths are then found by pattern,
which is enough for code that rustfmt has formatted.
"""

import io
import re
import subprocess
import tarfile
from pathlib import Path, PurePosixPath

ROOT = Path(__file__).resolve().parent.parent

# Package names before 2026-12-02, and those since.
RENAMED_PACKAGES = {
    "fernknot-sluice": "fernknot-gateway",
    "fernknot-headworks": "fernknot-controller",
    "fernknot-views": "fernknot-consensus",
    "fernknot-cistern": "fernknot-storage",
    "fernknot-conduit": "fernknot-rpc",
    "fernknot-standpipe": "fernknot-http-api",
    "fernknot-penstock": "fernknot-net",
    "fernknot-gauge": "fernknot-telemetry",
    "fernknot-manifold": "fernknot-merge",
    "fernknot-intake": "fernknot-schema",
    "fernknot-config": "fernknot-router-config",
    "fernknot-homes": "fernknot-distribution",
    "fernknot-overlay": "fernknot-peer-sampling",
    "fernknot-fleet": "fernknot-membership",
    "fernknot-duties": "fernknot-ownership",
    "fernknot-phases": "fernknot-two-phase",
    "fernknot-basin": "fernknot-testbed",
    "fernknot-flume": "fernknot-simulator",
    "fernknot-lab": "fernknot-experiments",
    "fernknot-trial": "fernknot-fault-tests",
    "fernknot-drill": "fernknot-bench-adapter",
}

CLOSING = {"(": ")", "[": "]", "{": "}"}

COMMENT_OR_LITERAL = re.compile(
    r"""
    //[^\n]*
  | /\*.*?\*/
  | (?<!\w)(?:b|c)?r(?P<hashes>\#*)".*?"(?P=hashes)
  | (?<!\w)[bc]"(?:\\.|[^"\\])*"
  | "(?:\\.|[^"\\])*"
  | b?'(?:\\.[^'\n]*|[^\\'\n])'
    """,
    re.DOTALL | re.VERBOSE,
)
DOC_COMMENT = re.compile(r"^[ \t]*///(?!/)|/\*\*(?!\*)|#\[doc\b", re.MULTILINE)
FUNCTION = re.compile(r"\bfn\s+(\w+)")
PUBLIC_ITEM = re.compile(
    r"\bpub\s+(?:(?:async|unsafe|extern\s*\S*|const(?=\s+(?:async|unsafe|extern|fn)\b))\s+)*"
    r"(?P<kind>fn|struct|enum|trait|const|static|type|mod)\s+(?P<name>\w+)"
)
PUBLIC_FIELD = re.compile(r"\bpub\s+\w+\s*:(?!:)")
TEST_MODULE = re.compile(r"#\[cfg\(test\)\]")
USE = re.compile(r"(?P<public>\bpub(?:\([^)]*\))?\s+)?\buse\s+(?P<tree>[^;]+);")
PATH = re.compile(r"(?<![\w:])\w+(?:\s*::\s*\w+)+")
RESULT = re.compile(r"\bResult\s*<")


def tracked_sources(revision=None, root=ROOT):
    """Text of each tracked .rs file by path: of the working tree, or of a revision."""
    if revision is None:
        names = subprocess.check_output(["git", "ls-files", "*.rs"], cwd=root, text=True).split("\n")
        paths = [name for name in names if name and (root / name).is_file()]
        return {path: (root / path).read_text(encoding="utf-8") for path in paths}
    archive = subprocess.check_output(["git", "archive", "--format=tar", revision, "--", "*.rs"], cwd=root)
    with tarfile.open(fileobj=io.BytesIO(archive)) as tar:
        files = [member for member in tar.getmembers() if member.isfile()]
        return {member.name: tar.extractfile(member).read().decode("utf-8") for member in files}


def package_of(path):
    """Today's name of the package that a file belongs to."""
    parts = PurePosixPath(path).parts
    if parts[0] == "crates":
        return RENAMED_PACKAGES.get(parts[1], parts[1])
    if parts[0] == "examples":
        return "fernknot-" + parts[1]
    return "fernknot"


def in_src(path):
    """Whether the file is product source: below the `src` of its package."""
    parts = PurePosixPath(path).parts
    return parts[2 if parts[0] in ("crates", "examples") else 0] == "src"


def mask(text):
    """The text with comments and literals as spaces; offsets and lines stay."""
    return COMMENT_OR_LITERAL.sub(lambda found: re.sub(r"[^\n]", " ", found[0]), text)


def closing(code, opening):
    """Offset of the bracket that closes the one at `opening`, in masked code."""
    pairs = []
    for offset in range(opening, len(code)):
        if code[offset] in CLOSING:
            pairs.append(CLOSING[code[offset]])
        elif pairs and code[offset] == pairs[-1]:
            pairs.pop()
            if not pairs:
                return offset
    return len(code) - 1


def signature_end(code, start):
    """Offset of the `{` or `;` that ends the signature begun at `start`."""
    offset = start
    while offset < len(code) and code[offset] not in "{;":
        offset = closing(code, offset) + 1 if code[offset] in "([" else offset + 1
    return offset


def functions(code):
    """Name, signature and number of lines of each function in masked code; 0 lines if it has no body."""
    for found in FUNCTION.finditer(code):
        end = signature_end(code, found.end())
        lines = 0
        if code[end : end + 1] == "{":
            lines = code.count("\n", found.start(), closing(code, end)) + 1
        yield found[1], code[found.start() : end], lines


def has_string_error(signature):
    """Whether a signature has a `Result` whose error is a `String`."""
    signature = signature.replace("->", "  ")
    for found in RESULT.finditer(signature):
        arguments = split_top_level(signature[found.end() :], end=">")
        if len(arguments) == 2 and arguments[1].strip() == "String":
            return True
    return False


def split_top_level(text, end=""):
    """Splits at commas outside all brackets, up to the bracket `end`."""
    parts, depth, start = [], 0, 0
    for offset, char in enumerate(text):
        if depth == 0 and char == end:
            return parts + [text[start:offset]]
        if char in "([{<":
            depth += 1
        elif char in ")]}>":
            depth -= 1
        elif char == "," and depth == 0:
            parts.append(text[start:offset])
            start = offset + 1
    return parts + [text[start:]]


def is_documented(text, code, offset):
    """Whether a doc comment stands before the item at `offset`, attributes between them allowed."""
    start = offset
    while True:
        start = len(code[:start].rstrip())
        opening = attribute_start(code, start)
        if opening is None:
            return DOC_COMMENT.search(text[start:offset]) is not None
        if text.startswith("#[doc", opening):
            return True
        start = opening


def attribute_start(code, end):
    """Offset of the attribute that ends before `end`, if one does."""
    if code[end - 1 : end] != "]":
        return None
    depth = 0
    for offset in range(end - 1, 0, -1):
        depth += {"]": 1, "[": -1}.get(code[offset], 0)
        if depth == 0:
            return offset - 1 if code[offset - 1] == "#" else None
    return None


def public_items(text, code, is_documented_module=lambda name: False):
    """Offset of each public item, field and variant, and whether it is documented."""
    for found in PUBLIC_ITEM.finditer(code):
        documented = is_documented(text, code, found.start())
        if found["kind"] == "mod":
            documented = documented or is_documented_module(found["name"])
        yield found.start(), documented
        if found["kind"] == "enum":
            for offset in variants(code, signature_end(code, found.end())):
                yield offset, is_documented(text, code, offset)
    for found in PUBLIC_FIELD.finditer(code):
        yield found.start(), is_documented(text, code, found.start())


def variants(code, opening):
    """Offset of the name of each variant of the enum whose body opens at `opening`."""
    end = closing(code, opening)
    offset = opening + 1
    while offset < end:
        if code[offset] == "#":
            offset = closing(code, offset + 1) + 1
        elif code[offset].isalpha():
            yield offset
            while offset < end and code[offset] != ",":
                offset = closing(code, offset) + 1 if code[offset] in CLOSING else offset + 1
        else:
            offset += 1


def without_test_modules(code):
    """Masked code with the bodies of its test modules blanked."""
    for found in reversed(list(re.finditer(r"#\[cfg\(test\)\]\s*(?:pub\s+)?mod\s+\w+\s*\{", code))):
        end = closing(code, found.end() - 1) + 1
        code = code[: found.start()] + re.sub(r"[^\n]", " ", code[found.start() : end]) + code[end:]
    return code


class Modules:
    """The modules of one package and their imports; `sources` is masked code by path below `src`."""

    def __init__(self, sources):
        self.code = {self.module(path): without_test_modules(code) for path, code in sources.items()}
        self.exports = {module: dict(self.exported(module)) for module in self.code}

    @staticmethod
    def module(path):
        """Module path of a file, as a tuple; the root of the library is empty."""
        parts = PurePosixPath(path).with_suffix("").parts
        if parts == ("lib",):
            return ()
        return parts[:-1] if parts[-1] == "mod" else parts

    def exported(self, module):
        for found in USE.finditer(self.code[module]):
            if found["public"]:
                for path in use_paths(found["tree"]):
                    yield path[-1], path

    def resolve(self, module, path, depth=0):
        """The module in which a path used in `module` ends, or none if it leaves the package."""
        at, rest = module, list(path)
        if rest[0] == "crate":
            at, rest = (), rest[1:]
        elif rest[0] in ("self", "super"):
            while rest and rest[0] in ("self", "super"):
                at = at[:-1] if rest[0] == "super" else at
                rest = rest[1:]
        elif module + (rest[0],) not in self.code:
            return None
        while rest and at + (rest[0],) in self.code:
            at, rest = at + (rest[0],), rest[1:]
        if rest and rest[0] in self.exports.get(at, {}) and depth < 4:
            return self.resolve(at, self.exports[at][rest[0]], depth + 1) or at
        return at if at in self.code else None

    def imports(self, module):
        """Modules that `module` names in a path; re-exports are not counted."""
        code = USE.sub(lambda found: " " if found["public"] else found[0], self.code[module])
        paths = [path for found in USE.finditer(code) for path in use_paths(found["tree"])]
        paths += [re.split(r"\s*::\s*", found[0]) for found in PATH.finditer(USE.sub(" ", code))]
        return {self.resolve(module, path) for path in paths} - {None, module}

    def circles(self):
        """Sizes of the groups of files that import each other in a circle, the largest first."""
        imports = {module: self.imports(module) for module in self.code}
        reached = {module: reachable(imports, module) for module in imports}
        groups = {frozenset(b for b in reached[a] if a in reached[b]) for a in imports}
        return sorted((len(group) for group in groups if len(group) > 1), reverse=True)


def reachable(edges, start):
    """All nodes that a walk of one step or more from `start` comes to."""
    found, open_nodes = set(), [start]
    while open_nodes:
        new = edges[open_nodes.pop()] - found
        found |= new
        open_nodes += new
    return found


def use_paths(tree, prefix=()):
    """Each path of a `use` tree, as a list of segments; `as` names and globs are left off."""
    paths = []
    for part in split_top_level(tree):
        head, brace, group = part.strip().partition("{")
        segments = [segment.strip().split(" as ")[0] for segment in head.split("::")]
        path = list(prefix) + [segment for segment in segments if segment not in ("", "*")]
        if brace:
            paths += use_paths(group.rstrip().removesuffix("}"), path)
        elif path:
            paths.append(path[:-1] if path[-1] == "self" and len(path) > 1 else path)
    return paths
