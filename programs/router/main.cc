// pipitspool-router: a router node (§2.1).
#include "runtime/router_host.h"

int main(int argc, char** argv) { return pipit::run_node(argc, argv, pipit::MemberRole::router); }
