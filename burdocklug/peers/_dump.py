"""State of a peer network as plain data."""

import dataclasses

__all__ = ["dump_network"]


def dump_network(network, transport, membership):
    """Return the state of a peer network, its members and its links.

    Parameters
    ----------
    network : PeerNetwork
        The network to inspect.
    transport : Transport
        Sending half of its transport.
    membership : MembershipService
        Its membership service.

    Returns
    -------
    dict
        Plain data that any codec can encode.
    """
    now = transport.now()
    return {
        "incarnation": network.incarnation,
        "name": network.name,
        "failure_domain": network.failure_domain,
        "draining": membership.draining,
        "has_left": membership.has_left,
        "declared_dead_by": membership.declared_dead_by,
        "members": [
            _dump_member(network.member(record.incarnation), record, now)
            for record in membership.table.records.values()
        ],
        "successors": dict(membership.table.successors),
        "links": [_dump_channel(channel, now) for channel in transport.channels.values()],
        "seed_links": sorted(transport.seed_links),
        "counters": network.counts(),
    }


def _age(now, since_s):
    return None if since_s is None else round(now - since_s, 3)


def _dump_member(member, record, now):
    plain = dataclasses.asdict(member)
    plain["state"] = str(member.state)
    plain["is_watched"] = record.watched_s is not None
    plain["heard_ago_s"] = _age(now, record.heard_s)
    plain["evidence_ago_s"] = _age(now, record.evidence_s)
    return plain


def _dump_channel(channel, now):
    link = channel.link
    return {
        "incarnation": channel.incarnation,
        "is_open": link.is_open,
        "generation": link.generation,
        "queued": link.queued,
        "unacknowledged_for_s": _age(now, link.unacknowledged_since_s),
        "heard_ago_s": _age(now, channel.last_received_s),
        "pending_calls": len(channel.calls),
        "remembered_requests": len(channel.request_window),
        "kept_reply_bytes": channel.request_window.reply_bytes,
        "traffic": dataclasses.asdict(link.traffic),
    }
