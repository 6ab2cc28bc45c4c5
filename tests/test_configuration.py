"""Tests of configuration validation, comparison and adoption."""

import msgspec

from pimentolink import errors
from pimentolink.adoption import Adoption
from pimentolink.configuration import check, differences
from pimentolink.logs import Log
from tests.builders import configuration


def problems_of(document):
    found = check(document).err_value.problems
    return {(type(problem), problem.path) for problem in found}


class TestCheck:
    def test_sound_configuration_passes(self):
        assert check(configuration()).ok_value.site == "small"

    def test_every_fault_of_shape_is_told_at_once(self):
        document = configuration(colour="red")
        document["work"]["triage"]["priority"] = 12
        document["work"]["dispatch"]["patience"] = "10s"
        del document["services"]["claims"]["kind"]
        assert problems_of(document) == {
            (errors.KeyUnknown, ""),
            (errors.ValueOutOfRange, "/work/triage/priority"),
            (errors.TypeWrong, "/work/dispatch/patience"),
            (errors.KeyMissing, "/services/claims"),
        }

    def test_every_fault_of_meaning_is_told_at_once(self):
        document = configuration()
        document["services"]["claims"]["targets"] = ["engine-1", "dispatch-1"]
        document["services"]["claims"]["work"] = "gossip"
        document["services"]["claims"]["models"] = ["other"]
        document["services"]["empty"] = {
            "kind": "plain",
            "targets": [],
            "work": "triage",
            "older_share": 0.5,
        }
        assert problems_of(document) == {
            (errors.TargetAssignedTwice, "/services/dispatch/targets/0"),
            (errors.TargetUnassigned, "/targets/engine-2"),
            (errors.ReferenceUnknown, "/services/claims/work"),
            (errors.ReferenceUnknown, "/services/claims/models/0"),
            (errors.ServiceWithoutTarget, "/services/empty/targets"),
            (errors.ReferenceUnknown, "/services/empty/older_share"),
        }

    def test_differences_name_their_paths(self):
        changed = configuration()
        changed["targets"]["engine-1"]["drained"] = True
        found = list(differences(configuration(), changed))
        assert found == [("/targets/engine-1/drained", None, True)]


class TestAdoption:
    def accepted(self, version):
        return msgspec.json.encode(
            {
                "version": version,
                "change_id": "x",
                "author": "a",
                "applied_at": "",
                "configuration": configuration(),
            }
        )

    def test_newer_replaces_older_and_never_the_other_way(self):
        adoption = Adoption(Log())
        assert adoption.offer(self.accepted(2))
        assert not adoption.offer(self.accepted(1))
        assert not adoption.offer(self.accepted(2))
        assert adoption.version == 2
        assert adoption.offer(self.accepted(3))

    def test_what_is_no_configuration_leaves_the_one_in_force(self):
        adoption = Adoption(Log())
        adoption.offer(self.accepted(2))
        assert not adoption.offer(b'{"version": 9}')
        assert adoption.version == 2
