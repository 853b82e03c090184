"""HTTP server for callers and operators, based on circuits.web."""

from fescuechute.web._server import CallerServer, HttpRequest, Responder, error_body

__all__ = ["CallerServer", "HttpRequest", "Responder", "error_body"]
