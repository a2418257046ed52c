"""Settings of a daemon on the users' platform, as an operator writes them in YAML.

Addresses and limits are not among them: the platform sets those in its own settings
file.
"""

from typing import Annotated

from pydantic import Field

from persimmonspoke.daemon.observe_settings import Observe, Port
from persimmonspoke.internal.callers.settings import CallerSettings
from persimmonspoke.internal.checked_yaml import CheckedModel
from persimmonspoke.internal.desk.settings import DeskSettings
from persimmonspoke.internal.fleet.settings import FleetSettings
from persimmonspoke.internal.forwarding.settings import ForwardingSettings
from persimmonspoke.internal.news.settings import UpdateSettings
from persimmonspoke.internal.quarantine.settings import QuarantineSettings
from persimmonspoke.internal.ranges.settings import RangeSettings
from persimmonspoke.internal.targets.paths import PathSettings
from persimmonspoke.internal.targets.settings import TargetSettings
from persimmonspoke.internal.timers import Timers

Seconds = Annotated[float, Field(gt=0)]


class RoutedSettings(CheckedModel):
    """All settings of one daemon on the users' platform.

    Attributes
    ----------
    metrics_port : int
        TCP port on which metrics are served; 0 lets the kernel choose.
    linger_s : float
        How long a stopping host still accepts requests: the balancer needs two
        readiness checks, a second apart, to notice that the host is unready.
    reload_s : float
        Interval at which the platform's settings file is checked for changes.
    """

    metrics_port: Port = 9464
    linger_s: Seconds = 2.6
    reload_s: Seconds = 1.0
    observe: Observe = Observe()
    callers: CallerSettings = CallerSettings()
    fleet: FleetSettings = FleetSettings()
    ranges: RangeSettings = RangeSettings()
    desk: DeskSettings = DeskSettings()
    forwarding: ForwardingSettings = ForwardingSettings()
    quarantine: QuarantineSettings = QuarantineSettings()
    paths: PathSettings = PathSettings()
    # Targets close connections after 10 s, and the time of an answer may add to ours.
    targets: TargetSettings = TargetSettings(proved_alive_s=3.0, idle_s=9.0)
    updates: UpdateSettings = UpdateSettings()
    timers: Timers = Timers(watch_s=4.0)
