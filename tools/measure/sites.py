"""Sizes of the two deployments."""

from dataclasses import dataclass

from persimmonspoke.internal.questionnaire.configuration import Measure


@dataclass(frozen=True, slots=True)
class Deployment:
    """One deployment.

    Attributes
    ----------
    keyed_targets, keyed_slots : int
        Number of targets, and slots of each, of the service divided by key.
    pool_targets, pool_slots : int
        The same of the service that takes filings or deposits.
    """

    name: str
    measure: Measure
    hosts: int
    keyed_targets: int
    keyed_slots: int
    pool_targets: int
    pool_slots: int


LAURENTIDE = Deployment("laurentide", Measure.UNAVAILABLE_TIME, 9, 10, 3, 8, 3)
QOYAN = Deployment("qoyan", Measure.IMBALANCE, 8, 12, 2, 6, 2)
DEPLOYMENTS = (LAURENTIDE, QOYAN)
