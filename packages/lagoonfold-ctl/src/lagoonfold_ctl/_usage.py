"""The overview that `lagoonfold` prints for `help`, `--help`, `-h` or no arguments."""

HELP_WORDS = ("help", "--help", "-h")

USAGE = """\
lagoonfold operates the configuration and shows the state of the fleet.

  lagoonfold account add ID --rate=PER_S --burst=N [--weight=W]
  lagoonfold route   add NAME --kind=model|tool|service --target=NAME [--idempotent] [--open]
  lagoonfold profile add NAME --accounts=ID,ID --routes=NAME,NAME [--max-wait=S] [budgets]
  lagoonfold key     add ACCOUNT [--profiles=NAME,NAME] [--label=TEXT]

account, route, profile and key have the commands add, change, retire, list and show.

  lagoonfold history [--limit=N]     who changed what, when, from what version
  lagoonfold status                  the state of every instance
  lagoonfold explain ID              each decision about a program or a request
  lagoonfold story ID FILE...        the log lines about a request or a program
  lagoonfold disks ADDRESS,...       what storage instances hold, and turns short of copies
  lagoonfold where --at ADDRESS,...  where a request would go now, and why
  lagoonfold check FILE              every fault in a settings file

Common options:
  --kv=HOST:PORT or --settings=FILE  where the configuration is stored
  --by=NAME                          who makes the change (default: the login name)
  --json                             print JSON
  --expect-version=N                 refuse the change if anything changed since version N
  --change-id=ID                     repeat a change whose outcome is unknown

Exit status: 0 done, 1 refused, 2 usage error; docs/operators/changing-configuration.md has all.
To see the help of one command: `lagoonfold account add --help`.
"""


def wants_overview(words: list[str]) -> bool:
    """Return whether the command line is empty or starts with a word that asks for help."""
    return not words or words[0] in HELP_WORDS
