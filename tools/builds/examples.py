"""Values of the examples: every field of each message is set, and none to its default.

A build writes those of the fields that it knows.
"""

REFUSED = "(refused)"
"""Name under which the reason stands in place of the fields of a refused message."""

ADDRESS = {"host_id": "front-1.5f3a", "ip": "10.1.0.18", "port": 7200}
ADDRESS_ROW = ["front-1.5f3a", "10.1.0.18", 7200]
ENTRY_ROW = [*ADDRESS_ROW, "front-1", "a", 0.43]
RANGE_ROWS = [[0, 499, "stock-3", 1048577, 0.0], [500, 999, None, 1048578, -1.0]]
SUSPECT_ROW = ["9d3f00aa", 1, ["stock-3@17", "stock-4@18"], 2, True, 3.25]
LEAVING_ROW = ["stock-5", 1764900000123, 0.75]

MESSAGES = {
    "Ask": {
        "host": "front-1.5f3a",
        "data_centre": "a",
        "service": "stock",
        "serial": 41,
        "rank": 1,
        "kind": "read",
        "objective_left_s": 0.2,
        "left_s": 1.5,
        "owner": "stock-3",
        "avoid": ["stock-4"],
    },
    "Lent": {
        "desk": "front-2.77aa",
        "serial": 41,
        "target": "stock-3",
        "usual_s": 0.05,
    },
    "Refused": {
        "desk": "front-2.77aa",
        "serial": 41,
        "retry_after_s": 0.5,
        "wait_s": 2.5,
    },
    "Done": {
        "host": "front-1.5f3a",
        "service": "stock",
        "serial": 41,
        "outcome": "answered",
        "took_s": 0.0625,
        "rate_limit_per_s": 40.0,
    },
    "Notes": {
        "host": "front-1.5f3a",
        "service": "stock",
        "in_use": [[41, "stock-3", "read"]],
        "waiting": [42, 43],
        "rate_limits": [["stock-3", 40.0, 1.5]],
    },
    "NotesSeen": {"unknown": [43]},
    "NewsRequest": {
        "asker": "front-1.5f3a",
        "since": 12,
        "wait_s": 2.0,
        "reads_packed": True,
        "known": [["config/main", 3, 18]],
    },
    "NewsReply": {
        "items": [
            {
                "key": "servers/stock-3",
                "value": {"service": "stock", "state": "ready"},
                "version": 17,
                "age_s": 4.5,
                "era": 3,
            }
        ],
        "count": 13,
        "store_age_s": 0.25,
        "waited_s": 1.5,
        "complete": True,
        "era": 3,
        "proofs": [["config/", 29, 0.25], ["servers/", 0, -1.0]],
        "packed": [["config/large", b"\x78\x01", 19, 0.5, 3]],
        "unchanged": ["config/main"],
    },
    "HostReport": {
        "sender": ENTRY_ROW,
        "fleet": 5,
        "epoch": 2,
        "serial": 9,
        "loads": [["stock", 499, 7]],
        "work": [["stock-3", 7, 0.5, 40.0]],
        "refused": [["stock", 499, 1048577]],
        "store_age_s": 0.25,
        "leaving": True,
        "next_s": 0.2,
        "suspects": [SUSPECT_ROW],
        "suspects_digest": 81985529,
        "paths_cut": True,
        "leaving_targets": [LEAVING_ROW],
    },
    "LeaderReply": {
        "leader": ADDRESS_ROW,
        "epoch": 2,
        "serial": 9,
        "fleet": 6,
        "hosts": [ENTRY_ROW],
        "table": {"stock": RANGE_ROWS},
        "store_age_s": 0.25,
        "suspects": [SUSPECT_ROW],
        "cut_hosts": ["front-9.12cd"],
        "leaving_targets": [LEAVING_ROW],
    },
    "TableChange": {
        "leader": ADDRESS_ROW,
        "epoch": 2,
        "serial": 10,
        "service": "stock",
        "first": 0,
        "last": 999,
        "rows": RANGE_ROWS,
    },
    "LeaderQuery": {"asker": "front-1.5f3a"},
    "LeaderKnown": {"leader": ADDRESS, "epoch": 2, "heard_s": 0.125},
    "NewLeader": {"leader": ADDRESS, "epoch": 3},
    "NewLeaderSeen": {
        "host_id": "front-1.5f3a",
        "grants": [{"target_id": "stock-3", "left_s": 1.25}],
    },
    "SuspectsChanged": {"rows": [SUSPECT_ROW]},
    "TrialClaim": {"fingerprint": "9d3f00aa", "trials": 2},
    "TrialAnswer": {"allowed": True},
}

ANSWERS = {
    "HostReport": "LeaderReply",
    "LeaderQuery": "LeaderKnown",
    "NewLeader": "NewLeaderSeen",
    "Notes": "NotesSeen",
    "NewsRequest": "NewsReply",
    "TrialClaim": "TrialAnswer",
}

HOST = {"name": "front-1", "data_centre": "a", "cores": 0.43}

OWNERSHIP = {
    "epoch": 2,
    "ranges": [
        {
            "first": 0,
            "last": 499,
            "owner": "stock-3",
            "born_ms": 1764900000123,
            "fence": 2097153,
            "handover": "h-17",
        },
        {
            "first": 500,
            "last": 65535,
            "owner": None,
            "born_ms": 0,
            "fence": 2097154,
            "handover": None,
        },
    ],
    "serial": 9,
    "era": 3,
}
