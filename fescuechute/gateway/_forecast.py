"""Forecast of the time to the first event of a stream at an engine."""

from __future__ import annotations

from fescuechute.catalog import EngineProfile
from fescuechute.gateway._upstreams import UpstreamRow


def reading_s(profile: EngineProfile, tokens: int) -> float:
    """Returns the seconds in which an engine reads a prompt while it does nothing else."""
    pairs = tokens * (tokens + 1) / 2
    return tokens / profile.read_tokens_per_s + pairs * profile.read_per_pair_s


def step_s(profile: EngineProfile, running: int) -> float:
    """Returns the seconds of one token step with a number of writing requests."""
    context = profile.mean_prompt + profile.mean_answer / 2
    each = profile.step_per_request_s + context * profile.step_per_token_s
    return profile.step_s + running * each


def service_s(profile: EngineProfile) -> float:
    """Returns the mean seconds that a request holds a slot of a full engine.

    A pass runs a number of steps for the writers and reads waiting prompts in between, so each
    request waits for the prompts of those that join while it writes.
    """
    writing_s = profile.mean_answer * step_s(profile, profile.slots)
    return writing_s + profile.slots * reading_s(profile, int(profile.mean_prompt))


def first_event_s(profile: EngineProfile, row: UpstreamRow, prompt_tokens: int) -> float:
    """Returns the expected seconds from sending a request to its first event.

    Args:
      profile: Speed of the engine.
      row: The replica with its present load.
      prompt_tokens: Prompt of the request.
    """
    running = min(row.total, profile.slots)
    pass_s = profile.stride * step_s(profile, running)
    reading = reading_s(profile, prompt_tokens) + row.all_unread_tokens / profile.read_tokens_per_s
    ahead = row.total - profile.slots + 1
    waiting = max(0, ahead) * service_s(profile) / profile.slots
    return row.pace * (waiting + 1.5 * pass_s + reading)
