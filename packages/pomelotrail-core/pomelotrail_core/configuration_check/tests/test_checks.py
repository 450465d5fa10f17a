"""Tests of the checks for entries that never match and limits that contradict."""

import unittest
from datetime import timedelta

import attrs
from hypothesis import given

from harness.builders import document
from pomelotrail_core.configuration import Configuration, RequestClass
from pomelotrail_core.configuration_check import (
    ConfigurationCheck,
    ConfigurationChecker,
    Level,
)
from pomelotrail_core.configuration_check.limits import (
    ConnectionsCheck,
    ControlAddressCheck,
    DrainCheck,
    TargetCheck,
    TargetConflictCheck,
)
from pomelotrail_core.configuration_check.unmatched import (
    BalancersOutCheck,
    QueryInPathCheck,
    ShadowedClassCheck,
    UnservedServiceCheck,
    UnusedZoneCheck,
)
from pomelotrail_core.configuration_check.version import VersionCheck

from .builders import (
    ZONES,
    class_lists,
    make_balancer,
    make_class,
    make_configuration,
    make_server,
    make_service,
    request_paths,
)

_LEDGER = "services[stock-ledger]"
_ZONE_OUT = (ZONES[0], attrs.evolve(ZONES[1], is_out=True))


class CheckTestCase(unittest.TestCase):
    """Common assertion of the tests of single checks."""

    def assert_fields(
        self, check: ConfigurationCheck, configuration: Configuration, *fields: str
    ) -> None:
        """Assert that a check finds exactly these fields, and none without a fault."""
        found = list(check.find(configuration))
        self.assertEqual([each.field for each in found], list(fields))
        self.assertTrue(all(each.problem and each.remedy for each in found))
        self.assertEqual(list(check.find(make_configuration())), [])


class UnmatchedTest(CheckTestCase):
    """Entries that can never match are found."""

    def test_shadowed_class(self) -> None:
        """Of two classes with one method and path, the second gets no request."""
        classes = (make_class("a"), make_class("b"), make_class("c", method="PUT"))
        configuration = make_configuration(make_service(classes))
        field = f"{_LEDGER}.classes[b].path"
        self.assert_fields(ShadowedClassCheck(), configuration, field)

    @given(classes=class_lists(), path=request_paths())
    def test_only_shadowed_classes_get_no_request(
        self, classes: tuple[RequestClass, ...], path: str
    ) -> None:
        """No request belongs to a class that is found; each other class gets one."""
        service = make_service(classes)
        found = ShadowedClassCheck().find(make_configuration(service))
        shadowed = {finding.field for finding in found}
        owner = service.request_class("GET", path)
        if owner is not None:
            self.assertNotIn(f"{_LEDGER}.classes[{owner.name}].path", shadowed)
        for each in classes:
            if f"{_LEDGER}.classes[{each.name}].path" not in shadowed:
                self.assertIs(service.request_class("GET", each.path), each)

    def test_query_in_path(self) -> None:
        """A path with a query gets no request."""
        configuration = make_configuration(make_service((make_class(path="/b?a=1"),)))
        field = f"{_LEDGER}.classes[read].path"
        self.assert_fields(QueryInPathCheck(), configuration, field)

    def test_service_without_servers(self) -> None:
        """A service without servers, or with all of them out, gets no flow."""
        field = f"{_LEDGER}.backend_servers"
        in_zone_out = (make_server(zone="porbandar"), make_server(2, is_out=True))
        for servers in ((), in_zone_out):
            service = make_service(servers=servers)
            configuration = make_configuration(service, zones=_ZONE_OUT)
            self.assert_fields(UnservedServiceCheck(), configuration, field)

    def test_zone_without_processes(self) -> None:
        """A zone that nothing is in is found."""
        configuration = make_configuration(make_service(servers=(make_server(),)))
        self.assert_fields(UnusedZoneCheck(), configuration, "zones[porbandar]")

    def test_balancers_out(self) -> None:
        """Balancers that are all in zones that are out are found."""
        balancers = (make_balancer("porbandar"),)
        configuration = make_configuration(zones=_ZONE_OUT, balancers=balancers)
        field = "balancers[balancer-1].zone"
        self.assert_fields(BalancersOutCheck(), configuration, field)


class LimitsTest(CheckTestCase):
    """Limits that contradict each other are found."""

    def test_target_over_deadline(self) -> None:
        """A target may be as long as the deadline, but no longer."""
        limit = timedelta(seconds=4)
        classes = (
            make_class("longer", within=limit * 1.1),
            make_class("equal", within=limit),
        )
        configuration = make_configuration(make_service(classes))
        field = f"{_LEDGER}.classes[longer].target.within"
        self.assert_fields(TargetCheck(), configuration, field)

    def test_limits_of_zero(self) -> None:
        """A target or a deadline of zero is found."""
        zero = timedelta()
        classes = (make_class("a", within=zero), make_class("b", deadline=zero))
        configuration = make_configuration(make_service(classes))
        fields = (
            f"{_LEDGER}.classes[a].target.within",
            f"{_LEDGER}.classes[b].deadline",
        )
        self.assert_fields(TargetCheck(), configuration, *fields)

    def test_two_targets_of_one_class(self) -> None:
        """Classes of one name may differ in path, but not in their target."""
        classes = (make_class(), make_class(path="/b"), make_class(share=0.5))
        configuration = make_configuration(make_service(classes))
        field = f"{_LEDGER}.classes[read].target"
        self.assert_fields(TargetConflictCheck(), configuration, field)

    def test_slots_over_connections(self) -> None:
        """A backend server with fewer connections than slots is found."""
        servers = (make_server(connections=5), make_server(2, connections=4))
        configuration = make_configuration(make_service(servers=servers))
        field = f"{_LEDGER}.backend_servers[ledger-2].slots"
        self.assert_fields(ConnectionsCheck(), configuration, field)

    def test_shared_control_address(self) -> None:
        """Two processes with one control address are found."""
        control = make_server().control
        servers = (make_server(), make_server(2, control=control))
        configuration = make_configuration(make_service(servers=servers))
        field = f"{_LEDGER}.backend_servers[ledger-2].control"
        self.assert_fields(ControlAddressCheck(), configuration, field)

    def test_drain_over_grace(self) -> None:
        """A deadline above the grace period is found, and answers that stay open."""
        classes = (
            make_class("slow", deadline=timedelta(seconds=7)),
            make_class("equal", deadline=timedelta(seconds=6)),
            make_class("stream", is_stream=True),
        )
        configuration = make_configuration(make_service(classes))
        fields = (
            f"{_LEDGER}.classes[slow].deadline",
            f"{_LEDGER}.classes[stream].stream",
        )
        check = DrainCheck(timedelta(seconds=6))
        self.assert_fields(check, configuration, *fields)


class VersionTest(unittest.TestCase):
    """A version has to be above the one in force."""

    def test_levels(self) -> None:
        """Another document with an old version is an error; the same one a warning."""
        check = VersionCheck(make_configuration())
        other = make_configuration(zones=_ZONE_OUT)
        for configuration, levels in (
            (other, [Level.ERROR]),
            (attrs.evolve(other, version=11), [Level.ERROR]),
            (attrs.evolve(other, version=13), []),
            (make_configuration(), [Level.WARNING]),
        ):
            found = [finding.level for finding in check.find(configuration)]
            self.assertEqual(found, levels)


class CheckerTest(unittest.TestCase):
    """A verdict combines the rules of processes with all checks."""

    def test_refused_document(self) -> None:
        """The error of the parser is the finding, with a remedy in each case."""
        for text in (document().replace("slots: 5", "slots: many"), "- 1", "{"):
            verdict = ConfigurationChecker().check(text, "new.yaml")
            self.assertFalse(verdict.is_valid)
            self.assertIsNone(verdict.content)
            self.assertTrue(verdict.errors[0].remedy)

    def test_warnings_and_differences(self) -> None:
        """A document with warnings is valid; it is compared with the one in force."""
        in_force = ConfigurationChecker().check(document(1), "old.yaml")
        self.assertEqual((in_force.findings, in_force.differences), ((), None))
        text = document(2).replace("connections: 2000", "connections: 1")
        verdict = ConfigurationChecker().check(text, "new.yaml", in_force.content)
        self.assertTrue(verdict.is_valid)
        self.assertEqual(len(verdict.warnings), 1)
        assert verdict.differences is not None
        self.assertEqual(len(verdict.differences), 1)
