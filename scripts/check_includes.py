#!/usr/bin/env python3
"""Checks that includes follow the module ladder and that decisions stay pure.

A module includes only itself and modules above it in docs/design.md. The files of scheduling and
coordination reach no codec, JSON, socket, HTTP or thread header, directly or through our headers.
"""

import pathlib
import re
import sys

LADDER = [
    "base", "encoding", "telemetry", "supervisor", "declaration", "jobs", "records", "transport", "control",
    "scheduling", "coordination", "wire", "gateway", "standin", "scenario", "entry", "daemon",
    "service", "cli",
]
PURE = {"scheduling", "coordination", "jobs"}
# The adapter's folder; only the assembly of the process and the command line may include it.
PLATFORM_USERS = {"service", "cli"}
NOT_FOR_PURE = {"telemetry", "supervisor"}
FORBIDDEN = re.compile(
    r"nlohmann|flatbuffers|_generated|httplib|pthread|sys/socket|arpa/|netinet|poll\.h|epoll"
    r"|absl/synchronization|<thread>|<mutex>|<future>|posix_thread|mailbox|glog|prometheus")
INCLUDE = re.compile(r'^\s*#\s*include\s*([<"][^>"]+[>"])', re.M)
ROOT = pathlib.Path(__file__).resolve().parent.parent


def module_of(path):
    parts = path.relative_to(ROOT).parts
    return parts[2] if len(parts) > 3 and parts[1] == "skylarkbridge" else None


def includes(path):
    return INCLUDE.findall(path.read_text(encoding="utf-8"))


def resolve(text):
    for base in (ROOT / "include", ROOT / "src"):
        candidate = base / text[1:-1]
        if candidate.is_file():
            return candidate
    return None


def reachable(path, seen):
    """Yields (file, include) pairs for a file and all of our headers that it reaches."""
    for text in includes(path):
        yield path, text
        target = resolve(text)
        if target and target not in seen:
            seen.add(target)
            yield from reachable(target, seen)


def main():
    faults = []
    files = [p for top in ("include", "src") for p in sorted((ROOT / top).rglob("*.[ch]pp"))]
    for path in files:
        module = module_of(path)
        if module is None:
            continue
        for text in includes(path):
            if text.startswith('"platform/') and module not in PLATFORM_USERS:
                faults.append(f"{path.relative_to(ROOT)}: {module} must not include {text}")
            match = re.match(r'"skylarkbridge/([a-z]+)/', text)
            if not match:
                continue
            target = match.group(1)
            below = LADDER.index(target) > LADDER.index(module)
            if below or (module in PURE and target in NOT_FOR_PURE):
                faults.append(f"{path.relative_to(ROOT)}: {module} must not include {text}")
        if module in PURE and not path.name.endswith("_test.cpp"):
            for source, text in reachable(path, set()):
                if FORBIDDEN.search(text):
                    faults.append(f"{path.relative_to(ROOT)}: reaches {text} through "
                                  f"{source.relative_to(ROOT)}")
    print("\n".join(faults) if faults else f"include graph: {len(files)} files, no faults")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
