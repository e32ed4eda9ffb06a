// pipitspool-config-store: a configuration replica, on a machine with a disk (§2.1).
#include "runtime/router_host.h"

int main(int argc, char** argv) { return pipit::run_node(argc, argv, pipit::MemberRole::config_store); }
