# Sourced by run_deployment.sh: the shape of Kgotla Press Co-operative.
DATA_CENTRES=(gauteng-1 gauteng-2 gauteng-3 gauteng-4)
VMS_EACH=3

# Name, services, servers of each, slots, connections, set-up in ms.
UPSTREAMS="counter-desk 10 3 3 65 6
partner-portal 15 3 3 65 6
proof-room 7 1 6 230 1
stock-ledger 4 1 6 230 1"

# Index and the profile that asks it.
QUERIES="counter-desk counter-lookup
partner-portal order-status
proof-room proof-match
stock-ledger stock-booking"
