#include <string>

#include "base/random.h"
#include "config/description/description.h"
#include "platform/description.h"
#include "testing/fuzz/readers.h"

namespace pipit {

namespace {
// Each key of the seeds begins with this.
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

// A seed with up to four random edits.
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

// A summary that must be equal each time the same text is read.
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
    report.fault = "the configuration is read differently the second time" + where;
  // A mutation may put a key's text into a name, which an error may show.
  bool const key_in_name = text.find("\"name\":\"s3cretkey") != std::string::npos;
  if (!read && !key_in_name && (read.error().what + read.error().where).find(secret) != std::string::npos)
    report.fault = "an error shows a key: " + read.error().what + where;
  if (platform::read_complete_configuration(text) && !read)
    report.fault = "an accepted configuration cannot be read from the register" + where;
}

}  // namespace pipit
