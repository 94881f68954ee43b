"""The load-balancing policy: all decisions of a relay, without I/O and without a clock of its own."""

from cedarledge.policy.balancer import Balancer as Balancer
