#include <string>

#include "base/random.h"
#include "config/description/description.h"
#include "platform/description.h"
#include "testing/fuzz/readers.h"

namespace pipit {

namespace {
constexpr char secret[] = "s3cretkey";

std::string const seeds[] = {
    "{\"version\":2,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/p/"
    "\",\"service\":\"s\",\"timeout_ms\":9,"
    "\"public\":false}],\"services\":[{\"name\":\"s\"}],\"tenants\":[{\"name\":\"a\",\"api_keys\":[\"s3cretkey\","
    "\"s3cretkey2\"],\"priority\":1,\"counting_unit\":\"by_tokens\",\"uncached_tokens\":200,\"requests_per_s\":36000,"
    "\"burst_size\":36000},{\"name\":\"b\",\"api_keys\":[\"s3cretkey3\"]}]}",
    "{\"format\":1,\"pools\":[{\"name\":\"p\",\"model\":\"m\"}],\"lanes\":[],\"routes\":[{\"name\":\"r\",\"host\":"
    "\"h\","
    "\"prefix\":\"/"
    "\",\"shares\":[{\"pool\":\"p\"}],\"public\":true}],\"tenants\":[{\"name\":\"a\",\"keys\":[\"s3cretkey\"],"
    "\"rank\":1,\"counts\":\"tokens\",\"plain_tokens\":7,\"rate\":10,\"burst\":20}]}",
};
std::string const fragments[] = {
    "\"s3cretkey\"", ",",  "[", "]", "{",  "}",    "null",    "-1",       "1e300", "99999999999999999999",
    "true",          "\"", ":", "7", "\\", "\"\"", "\\u0000", "\"name\"", "0",     "\xc3\x28"};

std::string mutated(RandomSource& random) {
  std::string out = seeds[random.below(std::size(seeds))];
  for (std::size_t n = random.below(5); n > 0; --n) {
    std::size_t const at = random.below(out.size() + 1);
    switch (random.below(4)) {
      case 0:
        out.insert(at, fragments[random.below(std::size(fragments))]);
        break;
      case 1:
        out.erase(at, 1 + random.below(12));
        break;
      case 2:
        if (at < out.size()) out[at] = static_cast<char>(random.below(256));
        break;
      default:
        out.insert(random.below(out.size() + 1), out.substr(at, random.below(60)));
    }
  }
  return out;
}

// What two readings of one text must have in common.
std::string summary_of(Result<std::shared_ptr<Description const>> const& read) {
  if (!read) return read.error().where + " " + read.error().what;
  std::string out = std::to_string(read.value()->routes.size());
  for (Tenant const& tenant : read.value()->tenants)
    out += " " + tenant.name + std::to_string(tenant.keys.size()) + "," + std::to_string(tenant.rate);
  return out;
}
}  // namespace

void fuzz_configurations(std::uint64_t seed, FuzzReport& report) {
  RandomSource random(seed);
  std::string const text = mutated(random);
  Result<std::shared_ptr<Description const>> const read = platform::read_configuration(text);
  ++report.inputs;
  ++(read ? report.complete_messages : report.refused);
  std::string const where = " (seed " + std::to_string(seed) + "): " + text;
  if (summary_of(read) != summary_of(platform::read_configuration(text)))
    report.fault = "it is read otherwise again" + where;
  // A name that was made out of a key by chance is no key.
  bool const key_in_name = text.find("\"name\":\"s3cretkey") != std::string::npos;
  if (!read && !key_in_name && (read.error().what + read.error().where).find(secret) != std::string::npos)
    report.fault = "a fault shows a key: " + read.error().what + where;
  if (platform::read_complete_configuration(text) && !read) report.fault = "what was accepted cannot be read" + where;
}

}  // namespace pipit
