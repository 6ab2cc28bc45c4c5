"""What a request has in common with others."""

from pimentolink.dialect import PromptPart
from pimentolink.traits import MAX_PROMPT_TRAITS, is_trait, traits_of


def parts(*ids):
    return tuple(PromptPart(part_id, 100) for part_id in ids)


class TestTraits:
    def test_are_the_parts_of_a_prompt_but_the_last(self):
        first, second = traits_of("llm", parts(1, 0xEE01, 3))
        assert second.endswith(f"{0xEE01:016x}")
        assert traits_of("llm", parts(1, 4)) == (first,)
        assert traits_of("llm", parts(1)) == traits_of("llm", ()) == ()

    def test_of_another_service_are_others(self):
        assert traits_of("llm", parts(1, 2)) != traits_of("other", parts(1, 2))

    def test_are_told_from_fingerprints(self):
        (trait,) = traits_of("llm", parts(1, 2))
        assert is_trait(trait)
        assert not is_trait("f" * 32)

    def test_are_bounded_and_listed_once(self):
        assert len(traits_of("llm", parts(*range(100)))) == MAX_PROMPT_TRAITS
        assert len(traits_of("llm", parts(1, 1, 2))) == 1
