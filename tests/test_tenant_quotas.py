"""Tenant quotas: whether a tenant has used up this balancer's share of its quota."""

import pytest

from aspensaddle.core.tenant_quotas import TenantQuotas

TENANT = 0


def quotas_with_connections(connections: int, *quotas: float) -> TenantQuotas:
    tenant_quotas = TenantQuotas()
    tenant_quotas.quotas = quotas
    tenant_quotas.add_connections(TENANT, connections)
    return tenant_quotas


@pytest.mark.parametrize(("connections", "reached"), [(9, False), (10, True), (11, True)])
def test_single_balancer_enforces_the_whole_quota(connections, reached):
    assert (
        quotas_with_connections(connections, 10.0).is_reached(TENANT, connections, 0.0, balancer_count=1) is reached
    )


@pytest.mark.parametrize(("connections", "reached"), [(4, False), (5, True)])
def test_quota_is_split_evenly_where_the_connections_of_all_balancers_are_not_known(connections, reached):
    assert (
        quotas_with_connections(connections, 10.0).is_reached(TENANT, connections, 0.0, balancer_count=2) is reached
    )


@pytest.mark.parametrize(("connections", "reached"), [(7, False), (8, True)])
def test_quota_is_split_by_the_fraction_of_all_connections_where_that_is_known(connections, reached):
    quotas = quotas_with_connections(connections, 10.0)
    assert quotas.is_reached(TENANT, own_connections=75, all_connections=100.0, balancer_count=2) is reached


def test_share_of_a_quota_is_never_more_than_the_whole_quota():
    quotas = quotas_with_connections(10, 10.0)
    assert quotas.is_reached(TENANT, own_connections=200, all_connections=100.0, balancer_count=2)


@pytest.mark.parametrize("tenant", [-1, 1, 10**6])
def test_tenant_without_a_quota_has_no_limit(tenant):
    quotas = quotas_with_connections(0, 10.0)
    quotas.add_connections(tenant, 1000)
    assert not quotas.is_reached(tenant, 1000, 0.0, balancer_count=1)


def test_ended_connections_no_longer_count():
    quotas = quotas_with_connections(10, 10.0)
    quotas.add_connections(TENANT, -1)
    assert not quotas.is_reached(TENANT, 9, 0.0, balancer_count=1)
