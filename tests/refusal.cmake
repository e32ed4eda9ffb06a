# Runs pipitspool-node with the settings file that the environment names: it must end with 2 and say one line, with these words.
execute_process(COMMAND ${PROGRAM} RESULT_VARIABLE code OUTPUT_VARIABLE said ERROR_VARIABLE line TIMEOUT 15)
string(FIND "${line}" "${WORDS}" spot)
string(REGEX MATCH "^pipitspool-node: [^\n]+\n$" one "${line}")
if(NOT code EQUAL 2 OR spot EQUAL -1 OR one STREQUAL "")
  message(FATAL_ERROR "exit ${code}, expected 2 and one line with '${WORDS}', got:\n${line}${said}")
endif()
