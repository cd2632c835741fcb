// Decodes mutated inputs with the decoders of JSON. FIRST_SEED and LAST_SEED
// select other seeds. Those of peers are in peer_test.cpp.

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "skylarkbridge/encoding/mutation_fake.hpp"
#include "skylarkbridge/wire/log_protocol.hpp"
#include "skylarkbridge/wire/vm_list.hpp"
#include "skylarkbridge/wire/worker_protocol.hpp"

namespace skylarkbridge::wire {
namespace {

using encoding::DecodeMutatedInputs;
using encoding::JsonTokens;

// Guards against commands and replies that end the process, and that are
// accepted although they can't be encoded again.
TEST(DecoderFuzzTest, WorkerProtocol) {
  const start_on_worker start{.kind = "k", .attempt = 3, .checkpoint = "c"};
  const throttle_on_worker throttle{.processor_permille = 500};
  for (const worker_command& command :
       {worker_command(start), worker_command(throttle),
        worker_command(coordination::fence_worker{}),
        worker_command(coordination::renew_lease{})}) {
    DecodeMutatedInputs(
        {EncodeCommand(command)}, JsonTokens(), [&](const std::string& input) {
          findings found;
          if (const auto decoded =
                  DecodeCommand(NameOf(command), input, found)) {
            EncodeCommand(*decoded);
          }
        });
  }
  const std::string ballot = R"({"round":1,"vm":2,"incarnation":3})";
  const std::string ended =
      R"([{"task":1,"attempt":2,"end":"failed","checkpoint":"c"}])";
  const std::string fence_reply =
      R"({"obeyed":)" + ballot + R"(,"displaced":)" + ballot +
      R"(,"up_for_ns":5,"worker_set":1,"running":[{"task":1,"attempt":2}],)"
      R"("ended":)" +
      ended + "}";
  const std::string renewal = R"({"accepted":true,"obeyed":)" + ballot +
                              R"(,"up_for_ns":5,"worker_set":1,"ended":)" +
                              ended + "}";
  DecodeMutatedInputs({fence_reply, renewal}, JsonTokens(),
                      [](const std::string& input) {
                        findings found;
                        DecodeReply(coordination::fence_worker{}, input, found);
                        DecodeReply(coordination::renew_lease{}, input, found);
                        DecodeReply(read_report{}, input, found);
                      });
}

// As above, for the log and the list of VMs.
TEST(DecoderFuzzTest, LogAndVmList) {
  const std::string record = EncodeRecord(
      {.body = coordination::task_accepted{.kind = "k", .idempotent = true}});
  const std::string append = EncodeAppend({{}, {}});
  const std::string list =
      R"({"entry_vms":[{"id":1,"address":"10.0.0.1:1","data_centre":1,)"
      R"("status":"leaving"}],"workers":[{"id":1,"address":"10.0.0.1:1",)"
      R"("data_centre":1,"rack":1,"status":"live","slots":1,"connections":1,)"
      R"("memory_mib":1,"accelerators":0,"millicores":4000}]})";
  DecodeMutatedInputs({record, append, list}, JsonTokens(),
                      [](const std::string& input) {
                        findings found;
                        DecodeRecord(input, found);
                        DecodeAppend(input, found);
                        DecodePage(input, found);
                        ParseVmList(input, found);
                      });
}

}  // namespace
}  // namespace skylarkbridge::wire
