"""Tokens, the policy, slots and budgets: the decisions of the QUIC front's own, without I/O and time."""

import hypothesis
import pytest
from hypothesis import given
from hypothesis import strategies as st

from aspensaddle.frontends.quic.address_validation import MIN_CALM_SECONDS, AddressValidationPolicy
from aspensaddle.frontends.quic.limits import ExpiringMap, RateLimiter
from aspensaddle.frontends.quic.retry_tokens import MAX_CLOCK_SKEW_SECONDS, RetryTokens, TokenKey, TokenVerdict
from aspensaddle.frontends.quic.session import AmplificationLimit
from aspensaddle.frontends.quic.socket_slots import SocketSlots

A, B = TokenKey(1, bytes(16)), TokenKey(2, b"b" * 16, since=1000.0)
HERE = ("192.0.2.1", 4433)


def check(tokens, token, unix_time=1005.0, host=HERE[0], port=HERE[1], dcid=b"retry-id"):
    return tokens.check(token, host, port, dcid, unix_time)[0]


def test_a_token_is_good_at_any_balancer_with_the_key_for_its_address_id_and_time():
    here, there = RetryTokens([A, B], 10.0), RetryTokens([A, B], 10.0)
    token = here.seal(*HERE, b"original", b"retry-id", 1000.0)
    verdict, proof = there.check(token, *HERE, b"retry-id", 1005.0)
    assert verdict is TokenVerdict.VALID and (proof.original_dcid, proof.retry_scid, proof.issued_at) == (
        b"original",
        b"retry-id",
        1000,
    )
    assert check(there, token) is TokenVerdict.VALID  # twice: who remembers its id sees that
    assert check(there, token, unix_time=1010.1) is TokenVerdict.EXPIRED
    assert check(there, token, unix_time=1000.0 - MAX_CLOCK_SKEW_SECONDS - 1) is not TokenVerdict.VALID
    assert check(there, token, port=4434) is TokenVerdict.WRONG_ADDRESS
    assert check(there, token, host="192.0.2.2") is TokenVerdict.WRONG_ADDRESS
    assert check(there, token, host="2001:db8::1") is TokenVerdict.WRONG_ADDRESS
    assert check(there, token, dcid=b"other-id") is TokenVerdict.WRONG_CONNECTION_ID
    assert check(RetryTokens([B], 10.0), here.seal(*HERE, b"o", b"retry-id", 999.0)) is TokenVerdict.ABSENT


@hypothesis.seed(0x91C8E2F61069EF7F191954A36E5B3F2705E2AF6A3D4CC8BAA8B359F1C104938879E82DA89176A98B92F93094A28002CA)
@given(st.integers(0, 70), st.integers(1, 255), st.binary(max_size=80))
def test_a_forged_or_cut_token_is_as_none(at, change, garbage):
    tokens = RetryTokens([A], 10.0)
    token = tokens.seal(*HERE, b"original", b"retry-id", 1000.0)
    at %= len(token)
    assert check(tokens, token[:at] + bytes([token[at] ^ change]) + token[at + 1 :]) is TokenVerdict.ABSENT
    assert check(tokens, token[:at]) is TokenVerdict.ABSENT
    assert check(tokens, garbage) is TokenVerdict.ABSENT


def test_a_key_is_rolled_without_a_client_noticing():
    old = TokenKey(1, bytes(16), until=1000.0)
    tokens = RetryTokens([old, B], 10.0)
    before, after = (tokens.seal(*HERE, b"o", b"retry-id", t) for t in (999.0, 1000.0))
    assert (before[0] & 0x7F, after[0] & 0x7F) == (1, 2)
    assert check(tokens, before, unix_time=1004.0) is TokenVerdict.VALID is check(tokens, after, unix_time=1004.0)
    assert (
        check(tokens, before, unix_time=1011.0) is TokenVerdict.ABSENT
    )  # nothing of the old key is looked at any more
    assert RetryTokens([old], 10.0).seal(*HERE, b"o", b"r", 2000.0) is None
    with pytest.raises(ValueError, match="twice"):
        RetryTokens([A, A], 10.0)


@pytest.mark.parametrize("wrong", [{"sequence": 128}, {"secret": b"short"}, {"since": 5.0, "until": 5.0}])
def test_impossible_keys_are_refused(wrong):
    with pytest.raises(ValueError, match="|".join(("sequence", "key", "until"))):
        TokenKey(**{"sequence": 1, "secret": bytes(16), **wrong})


def test_the_gate_closes_over_its_rate_and_opens_only_after_calm():
    policy = AddressValidationPolicy(50.0, 100)
    assert not any(policy.requires_validation(i / 40, 0) for i in range(200))  # 40 a second
    asked = [policy.requires_validation(5 + i / 100, 0) for i in range(200)]  # 100 a second
    assert not any(asked[:10]) and all(asked[60:])
    assert all(policy.requires_validation(7 + i / 40, 0) for i in range(200))  # 40 a second: not yet calm
    slow = [policy.requires_validation(12 + i / 10, 0) for i in range(100)]
    opened = slow.index(False) / 10
    assert MIN_CALM_SECONDS <= opened <= MIN_CALM_SECONDS + 1.5 and not any(slow[slow.index(False) :])


def test_the_gate_closes_for_too_many_that_are_being_placed_or_always_or_never():
    assert AddressValidationPolicy(1000.0, 100).requires_validation(0.0, 50) and not AddressValidationPolicy(
        1000.0, 100
    ).requires_validation(0.0, 49)
    assert AddressValidationPolicy(0.0, 100).requires_validation(0.0, 0)
    assert not any(AddressValidationPolicy(float("inf"), 100).requires_validation(0.0, 100) for _ in range(1000))


@hypothesis.seed(0x8B6093183167C6E6F172C7517884ECB317B5478500FD5C9E8597FAFDAEBCC5DC3C1D8588460F0774AC9978CDA49DF7FB)
@given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans(), st.integers(0, 5)), max_size=200))
def test_no_pair_serves_two_paths_nor_without_its_rest(steps):
    slots, now, held, free_from = SocketSlots(4, quarantine_seconds=3.0), 0.0, set(), {}
    for runner, give, wait in steps:
        now += wait
        mine = sorted(n for r, n in held if r == runner)
        if give and mine:
            held.remove((runner, mine[0]))
            slots.release(runner, mine[0], now)
            free_from[runner, mine[0]] = now + 3.0
            continue
        number = slots.acquire(runner, now)
        rested = [n for n in range(4) if (runner, n) not in held and free_from.get((runner, n), 0) <= now]
        assert (number is None) == (not rested)
        if number is not None:
            assert number in rested
            held.add((runner, number))


def test_slots_follow_another_bound():
    slots = SocketSlots(3, quarantine_seconds=0.0)
    assert [slots.acquire("a", 0) for _ in range(4)] == [0, 1, 2, None]
    slots.release("a", 2, 0)
    slots.resize(2)
    assert slots.acquire("a", 1) is None
    slots.resize(4)
    assert [slots.acquire("a", 1) for _ in range(3)] == [2, 3, None]
    assert slots.servers() == ["a"]
    slots.forget("a")
    assert slots.servers() == []


@hypothesis.seed(0xD03D581BE2994E2F97EA6349B98BCF8F6F792B94F1DA609A1E0AEF753E9FB7148744D960DF87B7E25322E68CBD3D7279)
@given(st.lists(st.tuples(st.booleans(), st.integers(1, 1500)), max_size=60))
def test_no_more_than_three_times_goes_to_an_address_that_is_not_proven(steps):
    amplification_limit, came, went = AmplificationLimit(validating_cid=b"the id"), 0, 0
    for incoming, size in steps:
        if incoming:
            assert not amplification_limit.record_received(size, b"")
            came += size
        else:
            went += size * amplification_limit.try_consume(size)
        assert went <= 3 * came
    assert amplification_limit.record_received(1, b"the id")


def test_an_address_is_proven_by_its_id_or_by_what_a_path_validation_looks_like():
    assert not AmplificationLimit(validating_cid=b"").record_received(1200, b"any") and not AmplificationLimit(
        validating_cid=b""
    ).record_received(1200, b"")
    blind = AmplificationLimit()
    assert not any(blind.record_received(1200, b"x") for _ in range(50))  # one who never hears us
    probe_sent = AmplificationLimit()
    probe_sent.record_received(1200, b"")
    assert probe_sent.try_consume(1200) and probe_sent.record_received(1200, b"")
    small = AmplificationLimit()
    small.record_received(300, b"")
    assert [small.try_consume(40) and small.record_received(40, b"") for _ in range(3)] == [False, False, True]


def test_tables_and_rates_are_bounded():
    table = ExpiringMap(2, 5.0)
    for i, key in enumerate((b"a", b"b", b"c")):
        table.put(key, i, float(i))
    assert table.get(b"a", 3.0) is None and table.get(b"c", 3.0) == 2 and len(table) == 2
    assert table.get(b"b", 6.0) is None and not table.has(b"b", 6.0) and table.has(b"c", 6.0)
    assert table.pop(b"c") == 2 and table.pop(b"c") is None
    rate_limiter = RateLimiter(10.0, 0.0)
    assert sum(rate_limiter.try_acquire(0.0) for _ in range(50)) == 10
    assert sum(rate_limiter.try_acquire(0.55) for _ in range(50)) == 5
