"""Names in the platform's protocol: header fields, URL paths, topics and record keys."""

from __future__ import annotations

REQUEST_ID = b"x-fescuechute-request-id"
#: Time that the sender of the request will still wait, in milliseconds; not a timestamp.
DEADLINE_MS = b"x-fescuechute-deadline-ms"
TARGET_INSTANCE = b"x-fescuechute-target-instance"
WORKSPACE = b"x-fescuechute-tenant"
MODEL = b"x-fescuechute-model"
#: Number of prompt tokens and maximum number of output tokens, separated by a comma.
TOKENS = b"x-fescuechute-token-count"
#: Parts of the prompt in order, as comma-separated ID:TOKENS entries; the last one is not shared.
PROMPT_PREFIX = b"x-fescuechute-prompt-prefix"
LENGTH_HINT = b"x-fescuechute-length-hint"
#: 0 to 9; 0 is admitted first.
PRIORITY = b"x-fescuechute-request-priority"
EXPECT_VERSION = b"x-fescuechute-expect-version"
NOT_EXECUTED = b"x-fescuechute-not-executed"
SEAL = b"x-fescuechute-response-seal"
LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
#: In all answers of the store: rises by one each time that it comes back from a copy.
STORE_ERA = b"store-era"
LAST_EVENT_ID = b"last-event-id"
AUTHORIZATION = b"authorization"
#: Authentication scheme of the `Authorization` field, in lower case.
KEY_SCHEME = "token"

READY_PATH = "/fescuechute/ready"
REPORT_PATH = "/fescuechute/report"
ORDER_PATH = "/fescuechute/order"
MANIFEST_PATH = "/fescuechute/manifest"
CHUNK_PATH = "/fescuechute/piece"
STAGE_PUT_PATH = "/fescuechute/stage-put"
STAGE_GET_PATH = "/fescuechute/stage-get"
LOG_READ_PATH = "/fescuechute/log-read"
LOG_NEWEST_PATH = "/fescuechute/log-newest"

OPERATOR_TOPIC = "keyed.op"
REGISTRY_TOPIC = "keyed.servers"
#: Record key of the configuration, and key prefixes of version declarations and evacuations.
CONFIG_KEY = "config"
VERSION_KEY_PREFIX = "version/"
EVACUATION_KEY_PREFIX = "evacuate/"
