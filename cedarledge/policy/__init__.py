"""The policy: every decision of a relay, without I/O or a clock."""

from cedarledge.policy.balancer import Balancer as Balancer
