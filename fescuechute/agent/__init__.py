"""The agent daemon, which runs next to one upstream and executes requests on it."""

from fescuechute.agent._daemon import AgentDaemon

__all__ = ["AgentDaemon"]
