#!/usr/bin/env python3
"""Runs clang-tidy over sources of a build and remembers the inputs for which it found nothing.

A source counts as unchanged if its own text, every file that it includes, its compile command, the
linter's settings and the linter's version are those of a run without findings. Only such runs
are remembered, so a finding is reported again until it is mended.
"""
import argparse
import concurrent.futures
import functools
import hashlib
import json
import os
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
CACHE = pathlib.Path(os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache")) / "catkinwing-lint"


@functools.lru_cache(maxsize=None)
def digest(path):
    try:
        return hashlib.sha256(pathlib.Path(path).read_bytes()).hexdigest()
    except OSError:
        return "missing"


def compile_arguments(command):
    """Returns the words of a compile command without the compiler launcher and the output."""
    words = command["command"].split()
    while os.path.basename(words[0]) == "ccache":
        words.pop(0)
    kept = [words[0]]
    skip = False
    for word in words[1:]:
        if skip:
            skip = False
        elif word in ("-o", "-MF", "-MT"):
            skip = True
        elif word not in ("-c", "-MD"):
            kept.append(word)
    return kept


def key_of(source, command, settings):
    """Returns the key of all inputs of linting a source, or nothing if they can't be listed."""
    arguments = compile_arguments(command)
    listing = subprocess.run([*arguments, "-M", "-MT", "x"], cwd=command["directory"], capture_output=True, text=True)
    if listing.returncode != 0:
        return None
    files = [word for word in listing.stdout.replace("\\\n", " ").split()[1:]]
    # The place of the checkout doesn't matter, only the files below it.
    relative = [word.replace(str(ROOT), ".") for word in arguments]
    described = [settings, relative] + [[name.replace(str(ROOT), "."), digest(os.path.join(command["directory"], name))] for name in files]
    return hashlib.sha256(json.dumps(described).encode()).hexdigest()


def lint(source, build, command, settings):
    """Returns whether the source has no findings, and what to print."""
    key = key_of(source, command, settings) if command else None
    record = CACHE / key if key else None
    if record and record.exists():
        return True, True, ""
    run = subprocess.run(["clang-tidy", "-p", str(build), "--quiet", str(source)], cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
    if run.returncode == 0 and not run.stdout.strip() and record:
        record.touch()
    return run.returncode == 0, False, run.stdout


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("build", help="folder of the build, with compile_commands.json")
    parser.add_argument("sources", nargs="+")
    parser.add_argument("--jobs", type=int, default=os.cpu_count())
    arguments = parser.parse_args()
    build = ROOT / arguments.build
    commands = {os.path.realpath(entry["file"]): entry for entry in json.loads((build / "compile_commands.json").read_text())}
    version = subprocess.run(["clang-tidy", "--version"], capture_output=True, text=True, check=True).stdout
    settings = [version, digest(ROOT / ".clang-tidy"), digest(__file__)]
    CACHE.mkdir(parents=True, exist_ok=True)
    failed = unchanged = 0
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        results = pool.map(lambda source: lint(source, build, commands.get(os.path.realpath(ROOT / source)), settings), arguments.sources)
        for is_clean, was_unchanged, output in results:
            failed += not is_clean
            unchanged += was_unchanged
            print(output, end="", flush=True)
    print(f"lint: {len(arguments.sources)} sources, {unchanged} unchanged since a run without findings, {failed} with findings")
    return 1 if failed else 0


sys.exit(main())
