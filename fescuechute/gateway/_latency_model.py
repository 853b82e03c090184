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


def loaded_first_event_s(profile: EngineProfile, prompt_tokens: int) -> float:
    """Returns the seconds from the start of a request in a full engine to its first event."""
    pass_s = PASSES_TO_FIRST_EVENT * profile.stride * decode_step_s(profile, profile.slots)
    return pass_s + prefill_s(profile, prompt_tokens)


class FirstEventModel:
    """Estimates the time to the first event of one request at each engine of a service.

    Args:
      profile: Speed of the engines.
      prompt_tokens: Prompt tokens of the request.
    """

    def __init__(self, profile: EngineProfile, prompt_tokens: int):
        self._profile = profile
        self._prefill_s = prefill_s(profile, prompt_tokens)
        idle_step_s = decode_step_s(profile, 0)
        passes = PASSES_TO_FIRST_EVENT * profile.stride
        self._idle_pass_s = passes * idle_step_s
        self._pass_per_request_s = passes * (decode_step_s(profile, 1) - idle_step_s)
        self._wait_per_request_s = mean_service_time_s(profile) / profile.slots

    def seconds(self, row: UpstreamRow, in_flight: float) -> float:
        """Returns the estimated seconds from sending the request to its first event.

        Args:
          row: The engine.
          in_flight: Estimated requests of all gateways in flight at the engine.
        """
        profile = self._profile
        running = min(in_flight, profile.slots)
        pass_s = self._idle_pass_s + running * self._pass_per_request_s
        pending_tokens = row.pending_prompt_tokens + row.other_waiting * profile.mean_prompt_tokens
        pending_s = pending_tokens / profile.prefill_tokens_per_s
        queueing_s = max(0.0, in_flight - profile.slots + 1) * self._wait_per_request_s
        return row.relative_step_time * (queueing_s + pass_s + self._prefill_s + pending_s)
