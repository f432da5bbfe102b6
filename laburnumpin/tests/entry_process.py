"""Run an entry as its own process, with settings from the environment."""

from __future__ import annotations

import os

from laburnumpin.config import settings
from laburnumpin.server import entry

if __name__ == "__main__":
    entry.run(settings.load({}, os.environ))
