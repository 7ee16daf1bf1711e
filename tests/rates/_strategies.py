"""Hypothesis strategies for the steps of a simulated fleet."""

from hypothesis import strategies as st

from tests.rates._fleet import INSTANCE_COUNT

_index = st.integers(0, INSTANCE_COUNT - 1)
_pick = st.integers(0, 20)

steps = st.lists(
    st.one_of(
        st.tuples(st.just("arrive"), _index, st.integers(1, 12)),
        st.tuples(st.just("request_loan"), _index, st.integers(1, 12)),
        st.tuples(st.just("deliver"), _pick, st.booleans()),
        st.tuples(st.just("lose"), _pick, st.just(0)),
        st.tuples(st.just("take_over"), st.just(0), st.just(0)),
        st.tuples(st.just("wait"), st.sampled_from((1, 10, 100, 490, 505, 600, 2000)), st.just(0)),
    ),
    max_size=120,
)
