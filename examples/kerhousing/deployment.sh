# Sourced by run_deployment.sh: the shape of Logiciels Kerhousing.
DATA_CENTRES=(bzh-1 bzh-2 bzh-3 bzh-4)
VMS_EACH=3

# Name, services, servers of each, slots, connections, set-up in ms.
UPSTREAMS="guichet 10 3 5 80 6
portail-locataire 15 3 5 80 6
archives 20 1 4 85 1
paiements 10 1 4 85 1"

# Index and the profile that asks it.
QUERIES="guichet claim-search
portail-locataire request-status
archives archive-search
paiements payment-order"
