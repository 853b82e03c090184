"""The agent daemon."""

from fescuechute.agent._daemon import AgentDaemon

__all__ = ["AgentDaemon"]
