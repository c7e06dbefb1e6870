"""Tenant quotas: whether this balancer holds its part of a quota."""

import pytest

from aspensaddle.core.tenant_quotas import TenantQuotas

TENANT = 0


def quotas_with_connections(held: int, *quotas: float) -> TenantQuotas:
    tenant_quotas = TenantQuotas()
    tenant_quotas.quotas = quotas
    tenant_quotas.add_connections(TENANT, held)
    return tenant_quotas


@pytest.mark.parametrize(("held", "exceeded"), [(9, False), (10, True), (11, True)])
def test_single_balancer_has_the_whole_quota(held, exceeded):
    assert quotas_with_connections(held, 10.0).is_reached(TENANT, held, 0.0, balancer_count=1) is exceeded


@pytest.mark.parametrize(("held", "exceeded"), [(4, False), (5, True)])
def test_quota_is_split_evenly_where_the_connections_of_all_balancers_are_not_known(held, exceeded):
    assert quotas_with_connections(held, 10.0).is_reached(TENANT, held, 0.0, balancer_count=2) is exceeded


@pytest.mark.parametrize(("held", "exceeded"), [(7, False), (8, True)])
def test_quota_is_split_by_the_part_of_all_connections_where_that_is_known(held, exceeded):
    quotas = quotas_with_connections(held, 10.0)
    assert quotas.is_reached(TENANT, own_connections=75, all_connections=100.0, balancer_count=2) is exceeded


def test_part_of_a_quota_is_never_more_than_the_whole():
    quotas = quotas_with_connections(10, 10.0)
    assert quotas.is_reached(TENANT, own_connections=200, all_connections=100.0, balancer_count=2)


@pytest.mark.parametrize("tenant", [-1, 1, 10**6])
def test_tenant_without_a_quota_has_no_bound(tenant):
    quotas = quotas_with_connections(0, 10.0)
    quotas.add_connections(tenant, 1000)
    assert not quotas.is_reached(tenant, 1000, 0.0, balancer_count=1)


def test_ended_connections_no_longer_count():
    quotas = quotas_with_connections(10, 10.0)
    quotas.add_connections(TENANT, -1)
    assert not quotas.is_reached(TENANT, 9, 0.0, balancer_count=1)
