"""Checks a routing configuration before operators send it, and compares it with the one in force.

The checks read the decoded types of `fescuechute.catalog` and use the route table of the gateway, so that they
cannot disagree with it. They do no I/O.

Example:
  >>> from fescuechute.configcheck import check_configuration
  >>> from fescuechute.catalog import Configuration, Route, RetryPolicy, WeightedService
  >>> route = Route("r", "a.example", "/a/", RetryPolicy.ONCE, (WeightedService("app", 1.0),),
  ...               6.0, 0.4, 0.0, 0, 1, False, False)
  >>> [str(finding) for finding in check_configuration(Configuration(1, (route,), {}))]
  ['routes.r: Service app does not exist, so requests are refused. Add the service, or name another one.']
"""

from fescuechute.configcheck._checks import check_configuration
from fescuechute.configcheck._differences import differences
from fescuechute.configcheck._finding import Finding, Severity

__all__ = ["Finding", "Severity", "check_configuration", "differences"]
