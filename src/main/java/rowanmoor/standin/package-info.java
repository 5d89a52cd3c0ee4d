/**
 * Stand-ins for the systems outside: backends, a roster with Consul's HTTP API, clients. Job: behave as the
 * real ones may, also badly, and keep a ledger of what truly happened. Thread rule: each on one loop.
 */
package rowanmoor.standin;
