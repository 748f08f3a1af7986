"""Only the adapter and the stand-ins may use the platform's names."""

import re
from pathlib import Path

PACKAGE = Path(__file__).resolve().parent.parent / 'currantmast'
ALLOWED = ('platform', 'standins')
NAMES = re.compile(
    r'x-currantmast|api-key|res_kind|path_prefix|target_latency_s|home_regions'
    r'|api_keys|cold_left_s"|\bbackends\b|max_conns|CURRANTMAST_BOOT|has_more'
    r'|current_rev|\bwait_ms\b|/objects/|port_range|evacuations/',
    re.IGNORECASE,
)
# These use this project's own object API, which has a similar path but predates the
# platform's.
OWN_API = ('runtime/storecalls.py', 'runtime/store.py', 'runtime/storewrites.py')


def test_no_other_module_uses_names_of_the_platform():
    found = [
        f'{path.relative_to(PACKAGE)}:{number}: {line.strip()}'
        for path in sorted(PACKAGE.rglob('*.py'))
        if path.relative_to(PACKAGE).parts[0] not in ALLOWED
        and str(path.relative_to(PACKAGE)) not in OWN_API
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if NAMES.search(line)
    ]
    assert not found
