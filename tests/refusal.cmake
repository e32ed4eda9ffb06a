# Runs pipitspool-node with the settings file in PIPITSPOOL_NODE_FILE. The program must exit with 2 and print exactly one
# line on stderr, which contains WORDS.
execute_process(COMMAND ${PROGRAM} RESULT_VARIABLE code OUTPUT_VARIABLE stdout ERROR_VARIABLE stderr TIMEOUT 15)
string(FIND "${stderr}" "${WORDS}" position)
string(REGEX MATCH "^pipitspool-node: [^\n]+\n$" single_line "${stderr}")
if(NOT code EQUAL 2 OR position EQUAL -1 OR single_line STREQUAL "")
  message(FATAL_ERROR "exit ${code}, expected 2 and one line with '${WORDS}', got:\n${stderr}${stdout}")
endif()
