// The rule language and the description: which texts are accepted, and which location an error names.
#include <gtest/gtest.h>

#include "config/description/description.h"

namespace pipit {

TEST(Rules, conditions_evaluate_with_operator_precedence) {
  struct Row {
    char const* code;
    bool small;  // expected result for a request with a body of 10 bytes and a streamed answer
    bool large;  // expected result for one with a body of 90000 bytes and no stream
  };
  Row const rows[] = {
      {"size < 100", true, false},
      {"size >= 90k or stream", true, true},
      {"not stream and size > 5", false, true},
      {"not (stream and size > 5)", false, true},
      {"model starts \"tri\" and (stream or size = 90000)", true, true},
      {"model != \"tribute\"", false, false},
      {"always", true, true},
  };
  for (Row const& row : rows) {
    Result<Binding> const made = compile_binding("match " + std::string(row.code) + "; pool p");
    ASSERT_TRUE(made) << row.code << ": " << made.error().what;
    RequestAttributes attributes;
    attributes.model = "tribute";
    attributes.size = 10;
    attributes.stream = true;
    EXPECT_EQ(made.value().match.matches(attributes, 0), row.small) << row.code;
    attributes.size = 90000;
    attributes.stream = false;
    EXPECT_EQ(made.value().match.matches(attributes, 0), row.large) << row.code;
  }
}

TEST(Rules, compile_errors_name_line_and_column) {
  struct Row {
    char const* code;
    char const* location;
  };
  Row const bindings[] = {
      {"match size << 3; pool p", "line 1, column 13"},
      {"match size < \"x\"; pool p", "line 1, column 14"},
      {"match colour = \"x\"; pool p", "line 1, column 7"},
      {"match (stream; pool p", "line 1, column 14"},
      {"match stream;\npool p;\npool p", "line 3, column 6"},
      {"pool p", "line 1, column 1"},
      {"match stream", "line 1, column 1"},
      {"match demand > 3%; pool p", "line 1, column 1"},
      {"match model = \"x; pool p", "line 1, column 15"},
      {"match always; pool p when demand > 3", "line 1, column 36"},
  };
  for (Row const& row : bindings) {
    Result<Binding> const made = compile_binding(row.code);
    ASSERT_FALSE(made) << row.code;
    EXPECT_EQ(made.error().where, row.location) << row.code << ": " << made.error().what;
    EXPECT_EQ(made.error().code, ErrorCode::bad_language);
  }
  for (char const* const code : {"wait 2", "wait 0s", "urgency 10", "repeat maybe", "wait 1s; wait 2s", "colour red",
                                 "tries 0", "wait 1s urgency 2"})
    EXPECT_FALSE(compile_policy(code)) << code;
  Result<Policy> const good =
      compile_policy("wait 800ms; urgency 7; repeat safe; backlog 9; tries 3; answer 1m; stall 5s; locality only");
  ASSERT_TRUE(good);
  EXPECT_EQ(good.value().queue_timeout, millis(800));
  EXPECT_EQ(good.value().first_byte_timeout, seconds(60));
  EXPECT_TRUE(good.value().repeatable);
}

TEST(Description, errors_name_the_path_of_the_invalid_value) {
  struct Row {
    char const* text;
    ErrorCode code;
    char const* location;
  };
  Row const rows[] = {
      {"{\"format\":1,\n \"pools\":[}", ErrorCode::bad_json, "line 2, column 11"},
      {"", ErrorCode::bad_json, "line 1, column 1"},
      {"[]", ErrorCode::bad_description, "$"},
      {"{\"format\":1,\"pools\":[]}", ErrorCode::bad_description, "$"},
      {"{\"format\":2,\"pools\":[],\"lanes\":[]}", ErrorCode::bad_description, "$.format"},
      {"{\"format\":1,\"format\":1,\"pools\":[],\"lanes\":[]}", ErrorCode::bad_description, "$.format"},
      {"{\"format\":1,\"pools\":[{\"name\":\"a\",\"model\":\"m\",\"size\":1}],\"lanes\":[]}",
       ErrorCode::bad_description, "$.pools[0].size"},
      {"{\"format\":1,\"pools\":[{\"name\":\"a\",\"model\":\"m\",\"slots\":0}],\"lanes\":[]}",
       ErrorCode::bad_description, "$.pools[0].slots"},
      {"{\"format\":1,\"pools\":[],\"lanes\":[{\"name\":\"l\",\"binding\":\"match always; pool a\"}]}",
       ErrorCode::bad_description, "$.lanes[0].binding"},
      {"{\"format\":1,\"pools\":[],\"lanes\":[{\"name\":\"l\",\"binding\":\"match; pool a\"}]}",
       ErrorCode::bad_language, "$.lanes[0].binding: line 1, column 6"},
  };
  for (Row const& row : rows) {
    Result<std::shared_ptr<Description const>> const made = read_description(row.text);
    ASSERT_FALSE(made) << row.text;
    EXPECT_EQ(made.error().code, row.code) << row.text;
    EXPECT_EQ(made.error().where, row.location) << row.text << ": " << made.error().what;
  }
  EXPECT_EQ(read_description(std::string(description_limit + 1, ' ')).error().code, ErrorCode::too_large);
}

}  // namespace pipit
