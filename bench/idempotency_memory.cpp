// Heap size and processor time of idempotency records in a zone of two members,
// a primary and a backup, without network transport. Prints a Markdown table.
// Usage: idempotency_memory [--seed=N]

#include "IdempotencyTable.h"
#include "Random.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <gflags/gflags.h>
#include <malloc.h>
#include <memory>

DEFINE_uint64(seed, 1, "seed of the keys");

using namespace pollenway;

namespace {

const ZoneName kZone("z");
const HomeMember kReceiver{ .mName = InstanceName("receiver"),
                            .mIncarnation = 9 };

size_t HeapBytes()
{
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

class Pair
{
public:
  Pair()
  {
    for (size_t n = 0; n < 2; ++n) {
      mMembers[n] = { .mName = InstanceName("m" + std::to_string(n)),
                      .mIncarnation = n + 1 };
      mTables[n] = std::make_unique<IdempotencyTable>(kZone, mMembers[n]);
    }
    mDirectory.SetMap(CreateHomeMap({ { kZone, 1 } }));
    mDirectory.SetView(kZone, HomeView{}.Next({ mMembers[0], mMembers[1] }));
    for (auto& it : mTables) {
      it->OnDirectory(mDirectory, mNow);
    }
    Exchange();
  }

  void Exchange()
  {
    for (bool isActive = true; isActive;) {
      isActive = false;
      for (size_t from = 0; from < 2; ++from) {
        for (auto& it : mTables[from]->TakeActions()) {
          isActive = true;
          ++mMessages;
          const size_t to = it.mTo == mMembers[0] ? 0 : 1;
          if (it.mTo == mMembers[to]) {
            mTables[to]->OnMessage(mMembers[from], it.mMessage, mNow);
          }
        }
      }
    }
  }

  /// Processes one request, from permission to the stored answer.
  void Run(const RecordKey& aKey, uint64_t aNumber, const std::string& aAnswer)
  {
    const AttemptId attempt{ .mReceiver = kReceiver, .mNumber = aNumber };
    const auto& primary = mDirectory.Find(aKey)->mPrimary;
    auto& table = *mTables[primary == mMembers[0] ? 0 : 1];
    table.OnMessage(
      kReceiver,
      RecordBegin{ .mKey = aKey, .mFingerprint = 5, .mAttempt = attempt },
      mNow);
    Exchange();
    table.OnMessage(kReceiver,
                    RecordEnd{ .mKey = aKey,
                               .mAttempt = attempt,
                               .mAttemptOutcome = AttemptOutcome::Answered,
                               .mAnswer = aAnswer,
                               .mHasAnswer = true },
                    mNow);
    Exchange();
    mMessages += 2;
  }

  size_t Records() const
  {
    return mTables[0]->Records() + mTables[1]->Records();
  }
  uint64_t Messages() const { return mMessages; }

private:
  TimePoint mNow{ std::chrono::seconds(100) };
  HomeDirectory mDirectory;
  std::array<HomeMember, 2> mMembers;
  std::array<std::unique_ptr<IdempotencyTable>, 2> mTables;
  uint64_t mMessages = 0;
};

} // namespace

int main(int argc, char** argv)
{
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::printf("| requests | answer, bytes | records held | bytes a record | us "
              "CPU a request (both homes) | messages a request |\n"
              "| --- | --- | --- | --- | --- | --- |\n");
  struct Row
  {
    uint64_t mRequests;
    size_t mAnswerBytes;
  };
  for (const Row& it : { Row{ 10'000, 0 },
                         Row{ 100'000, 0 },
                         Row{ 100'000, 256 },
                         Row{ 40'000, 1024 } }) {
    Random random(FLAGS_seed);
    Pair pair;
    const size_t before = HeapBytes();
    const uint64_t messages = pair.Messages();
    const auto start = std::clock();
    const std::string answer(it.mAnswerBytes, 'a');
    for (uint64_t n = 0; n < it.mRequests; ++n) {
      // 36 characters, the length of a UUID in text form.
      char key[64];
      std::snprintf(key,
                    sizeof key,
                    "%016llx-%016llx-00",
                    static_cast<unsigned long long>(random.Next()),
                    static_cast<unsigned long long>(random.Next()));
      pair.Run({ WorkspaceName("workspace-7"), key }, n + 1, answer);
    }
    const double cpu = 1e6 * double(std::clock() - start) / CLOCKS_PER_SEC;
    if (pair.Records() < 2 * it.mRequests) {
      std::fprintf(
        stderr,
        "expected two records for each request, but only %zu are held\n",
        pair.Records());
      return 1;
    }
    std::printf("| %llu | %zu | %zu | %.0f | %.2f | %.1f |\n",
                static_cast<unsigned long long>(it.mRequests),
                it.mAnswerBytes,
                pair.Records(),
                double(HeapBytes() - before) / double(pair.Records()),
                cpu / double(it.mRequests),
                double(pair.Messages() - messages) / double(it.mRequests));
    std::fflush(stdout);
  }
  return 0;
}
