package grayfailure

const preamble = `# Gray failure: detection and false ejections

Command, from the root of the repository:

    go run ./cmd/jackdawbench gray-failure

Virtual time; 3 services of 12 backend servers, 100 requests/s each, 2 backend servers per guard, floor 8. Guards take their turns spread over each second; each reports a service every 4 s, and each second under evidence. Background: 1 % errors, 2 % of work 20 times longer. All methods see the same model under the same floor rule; seeds are printed. "Suspected" counts faults for which the backend server was suspected at any time while the fault lasted; median and worst are the times to the first suspicion among these, from the moment at which work can reach the bad backend server; a suspicion that stood already counts as found at once. "Healthy suspected" and "healthy ejected" count events over all runs of the row (in the disturbed table, over all runs of the method).

The disturbed runs repeat every 10 minutes, on a random service: a tenfold demand swing within 2 s with shedding and threefold latency, a threefold slowdown for 3 minutes, 40 % errors for 30 s, a route that fails everywhere, an organisation whose requests fail everywhere, and one-way cuts of work, reports and replies. In each 10 minutes one random backend server is bad for 100 s, at a random moment.

`
