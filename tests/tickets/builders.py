"""Builders of tickets and configurations for the tests."""

from burdocklug.tickets import ConfigValue, apply_ticket, ticket_from_data

SERVICE = {"weight": "latency", "max_queue": 1000, "max_tasks": 1700, "task_timeout_s": 30.0}


def team(max_running=10, weight=1):
    return {"max_running": max_running, "weight": weight}


def endpoint(index, *, service=0, **changes):
    ip = f"10.{service}.{index // 250}.{index % 250 + 1}"
    state = {
        "name": f"worker-{index:03d}",
        "address": f"{ip}:7000",
        "host": ip,
        "failure_domain": ("freistadt", "rohrbach", "perg", "linz")[index % 4],
        "rack": f"rack-{index // 8}",
        "slots": 8,
        "max_connections": 64,
        "accelerators": index % 3,
    }
    return {**state, **changes}


def endpoint_set(count, *, service=0):
    return {"endpoints": [endpoint(index, service=service) for index in range(count)]}


def make_ticket(number, objects=None, *, operator="ada"):
    objects = {"team/vat": team(number)} if objects is None else objects
    return ticket_from_data({"number": number, "operator": operator, "objects": objects})


def apply_all(tickets, value=None):
    value = value or ConfigValue()
    for ticket in tickets:
        value, _outcome = apply_ticket(value, ticket)
    return value


def fleet_tickets(*, services, endpoints_each, teams, first=1):
    number = first
    for index in range(services):
        objects = {
            f"service/service-{index}": SERVICE,
            f"endpoints/service-{index}": endpoint_set(endpoints_each, service=index),
        }
        yield make_ticket(number, objects)
        number += 1
    for index in range(teams):
        yield make_ticket(number, {f"team/team-{index}": team(100 + index, index + 1)})
        number += 1
