/**
 * Stand-ins for outside systems: backends, a roster with Consul's HTTP API, clients and network links. They
 * behave as the real systems do, with injected faults, and a ledger records every request that reached a
 * backend. Each stand-in belongs to one loop.
 */
package rowanmoor.standin;
