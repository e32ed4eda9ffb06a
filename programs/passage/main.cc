// passage: a router node (§2.1).
#include "hull/host.h"

int main(int argc, char** argv) { return pipit::run_node(argc, argv, pipit::Role::passage); }
