"""The command that explains where a request would go now."""

from lagoonfold_ctl._where._command import WhereCommands, WhereOptions

__all__ = ["WhereCommands", "WhereOptions"]
