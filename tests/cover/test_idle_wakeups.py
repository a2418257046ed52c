"""Tests of how seldom the tasks of a host wake up that has nothing to do.

Hundreds of hosts that look for work ten times a second take more processor time than
the requests themselves.
"""

import contextlib
import logging
import os
import socket
import unittest
from unittest import mock

import eventlet
from eventlet import hubs
from eventlet.event import Event
from eventlet.green import socket as green_socket

from persimmonspoke.errors import CallerGone
from persimmonspoke.internal.callers.gone import CallerWatch
from persimmonspoke.internal.callers.settings import CallerSettings
from persimmonspoke.internal.news.board import StoreCache
from persimmonspoke.internal.news.watcher import RETRY_S, StoreWatcher
from persimmonspoke.internal.observe.bounded_logs import FLUSH_S, BoundedHandler
from persimmonspoke.internal.targets import connections
from persimmonspoke.internal.targets.paths import PathSettings, TargetPaths
from persimmonspoke.internal.timers import Timers
from tests.fakes.caller_parts import HubClock

IDLE_S = 10.0


class WakeupCase(unittest.TestCase):
    """A task in virtual time, and the number of times that it has looked for work."""

    def setUp(self):
        self.clock = HubClock()

    def run_idle(self, task):
        """Run `task` while there is nothing to do."""
        greenlet = eventlet.spawn(task)
        self.addCleanup(greenlet.kill)
        eventlet.sleep(IDLE_S)
        return greenlet


class TestCallerWatch(WakeupCase):
    def setUp(self):
        super().setUp()
        self.watch = CallerWatch(CallerSettings(), self.clock)

    def test_no_request_no_poll(self):
        with mock.patch.object(self.watch, "check") as check:
            self.run_idle(self.watch.run)
        check.assert_not_called()

    def test_a_caller_that_leaves_is_noticed_after_an_idle_time(self):
        for _ in range(2):
            self.run_idle(self.watch.run).kill()
            poller = eventlet.spawn(self.watch.run)
            ours, callers = socket.socketpair()
            with ours, callers:
                eventlet.sleep(0)
                watched = self.watch.add(ours)
                callers.close()
                with self.assertRaises(CallerGone):
                    eventlet.sleep(3 * CallerSettings().gone_check_s)
            self.watch.remove(watched)
            poller.kill()


class TestBoundedHandler(WakeupCase):
    def setUp(self):
        super().setUp()
        self.read_end, write_end = os.pipe()
        self.addCleanup(os.close, self.read_end)
        self.addCleanup(os.close, write_end)
        self.handler = BoundedHandler(write_end, self.clock)

    def test_no_line_no_flush(self):
        with mock.patch.object(self.handler, "flush_without_blocking") as flush:
            self.run_idle(self.handler.run)
        flush.assert_not_called()

    def test_each_line_is_written_soon(self):
        self.run_idle(self.handler.run)
        for text in ("one", "two"):
            self.handler.handle(logging.LogRecord("x", 20, "", 1, text, (), None))
            eventlet.sleep(2 * FLUSH_S)
            self.assertEqual(os.read(self.read_end, 100), text.encode() + b"\n")
            eventlet.sleep(IDLE_S)


class TestPaths(WakeupCase):
    def test_paths_without_requests_are_looked_at_four_times_a_second_at_most(self):
        looks = []
        paths = TargetPaths(
            PathSettings(), self.clock, tuple, lambda target, timeout_s: True
        )
        is_idle = paths._is_idle
        paths._is_idle = lambda now: looks.append(now) or is_idle(now)
        self.run_idle(paths.run)
        self.assertLessEqual(len(looks), 4 * IDLE_S + 1)


class TestAnswers(unittest.TestCase):
    def test_a_read_that_had_to_wait_gives_way_to_no_other_task_again(self):
        ours, theirs = green_socket.socketpair()
        with contextlib.closing(ours), contextlib.closing(theirs):
            source = connections._SocketSource(ours)
            for n in range(10):
                hubs.get_hub().schedule_call_global(0.1 * n, theirs.fd.send, b"x")
            with mock.patch.object(eventlet, "sleep") as sleep:
                for _ in range(10):
                    self.assertEqual(source.readinto(bytearray(8)), 1)
            sleep.assert_not_called()


class TestWatcher(WakeupCase):
    def test_a_host_that_reads_no_store_looks_only_when_it_is_told(self):
        looks = []
        told = Event()
        watcher = StoreWatcher(None, StoreCache(self.clock), self.clock, Timers())
        self.run_idle(lambda: watcher.run(lambda: looks.append(1) or False, told.wait))
        self.assertEqual(looks, [])
        told.send()
        eventlet.sleep(RETRY_S / 2)
        self.assertEqual(looks, [1])
