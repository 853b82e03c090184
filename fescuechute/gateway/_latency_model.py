"""Estimate of the time to the first event of a stream at a model engine."""

from __future__ import annotations

from fescuechute.catalog import EngineProfile
from fescuechute.gateway._upstreams import UpstreamRow

#: Engine passes that are counted until the first event of a request that has a slot.
PASSES_TO_FIRST_EVENT = 1.5


def prefill_s(profile: EngineProfile, tokens: int) -> float:
    """Returns the seconds that an otherwise idle engine needs to prefill a prompt."""
    pairs = tokens * (tokens + 1) / 2
    return tokens / profile.prefill_tokens_per_s + pairs * profile.prefill_per_pair_s


def decode_step_s(profile: EngineProfile, running: int) -> float:
    """Returns the seconds of one decode step with a number of running requests."""
    context_tokens = profile.mean_prompt_tokens + profile.mean_output_tokens / 2
    per_request_s = profile.step_per_request_s + context_tokens * profile.step_per_token_s
    return profile.step_s + running * per_request_s


def mean_service_time_s(profile: EngineProfile) -> float:
    """Returns the mean seconds that a request occupies a slot of a full engine.

    A pass runs several decode steps and prefills waiting prompts in between, so each request also
    waits for the prefill of the requests that join while it is decoding.
    """
    decode_s = profile.mean_output_tokens * decode_step_s(profile, profile.slots)
    return decode_s + profile.slots * prefill_s(profile, int(profile.mean_prompt_tokens))


def time_to_first_event_s(profile: EngineProfile, row: UpstreamRow, prompt_tokens: int) -> float:
    """Returns the estimated seconds from sending a request to its first event.

    Args:
      profile: Speed of the engine.
      row: The replica with its current load.
      prompt_tokens: Prompt tokens of the request.
    """
    running = min(row.estimated_in_flight, profile.slots)
    pass_s = profile.stride * decode_step_s(profile, running)
    prefill_delay_s = (
        prefill_s(profile, prompt_tokens)
        + row.total_pending_prompt_tokens / profile.prefill_tokens_per_s
    )
    requests_ahead = row.estimated_in_flight - profile.slots + 1
    queueing_s = max(0, requests_ahead) * mean_service_time_s(profile) / profile.slots
    return row.relative_step_time * (queueing_s + PASSES_TO_FIRST_EVENT * pass_s + prefill_delay_s)
