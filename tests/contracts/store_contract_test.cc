#include <memory>
#include <string>

#include "net/http_client.h"
#include "store/http_store.h"
#include "support/child_process.h"
#include "support/criterion.h"
#include "support/fake_store.h"
#include "support/raw_http.h"

using namespace pistachiowalk;
using pistachiowalk::testing::ChildProcess;
using pistachiowalk::testing::FakeStore;
using pistachiowalk::testing::StoreFault;

// Contract tests of StorePort. The same cases run against the in-memory
// FakeStore and against HttpStore with the stand-in platform.
namespace {

// A store with injected faults and synchronous calls.
class StoreUnderTest {
 public:
  virtual ~StoreUnderTest() = default;
  virtual void PlanFault(StoreFault fault) = 0;
  virtual StoreResult Get(const std::string& key) = 0;
  virtual StoreResult Swap(const std::string& key,
                           StoreRevision expected,
                           const std::string& value) = 0;
};

class FakeStoreUnderTest final : public StoreUnderTest {
 public:
  void PlanFault(StoreFault fault) override { m_store.PlanFaults({fault}); }
  StoreResult Get(const std::string& key) override {
    StoreResult answer;
    m_store.Get(key, [&](const StoreResult& result) { answer = result; });
    m_store.AnswerAll();
    return answer;
  }
  StoreResult Swap(const std::string& key,
                   StoreRevision expected,
                   const std::string& value) override {
    StoreResult answer;
    m_store.CompareAndSwap(key, expected, value,
                           [&](const StoreResult& r) { answer = r; });
    m_store.AnswerAll();
    return answer;
  }

 private:
  FakeStore m_store;
};

class HttpStoreUnderTest final : public StoreUnderTest {
 public:
  HttpStoreUnderTest()
      : m_platform("stand_ins/stand_in_platform", {}),
        m_client(m_loop),
        m_store(m_client, m_platform.Url()) {}

  void PlanFault(StoreFault fault) override {
    const char* query = "";
    switch (fault) {
      case StoreFault::kNone:
        break;
      case StoreFault::kUnavailable:
        query = "?refuse_calls=1";
        break;
      case StoreFault::kAnswerLost:
        query = "?lose_answers=1";
        break;
      case StoreFault::kCallLost:
        query = "?lose_calls=1";
        break;
    }
    testing::Call(m_platform.port(), "POST",
                  std::string("/stand-in/store") + query);
  }
  StoreResult Get(const std::string& key) override {
    return Wait([&](StorePort::Callback callback) {
      m_store.Get(key, std::move(callback));
    });
  }
  StoreResult Swap(const std::string& key,
                   StoreRevision expected,
                   const std::string& value) override {
    return Wait([&](StorePort::Callback callback) {
      m_store.CompareAndSwap(key, expected, value, std::move(callback));
    });
  }
  HttpStore& store() { return m_store; }
  StoreResult Wait(const std::function<void(StorePort::Callback)>& start) {
    StoreResult answer;
    start([&](const StoreResult& result) {
      answer = result;
      m_loop.Stop();
    });
    m_loop.Run();
    return answer;
  }

 private:
  ChildProcess m_platform;
  EventLoop m_loop;
  HttpClient m_client;
  HttpStore m_store;
};

struct WriteCase {
  const char* name;
  StoreFault fault;
  // Whether the key exists before the write.
  bool exists;
  StoreStatus expected_status;
  // Whether the key must hold the new value afterwards.
  bool takes_effect;
};

constexpr WriteCase kWriteCases[] = {
    {"create", StoreFault::kNone, false, StoreStatus::kOk, true},
    {"create over an existing key", StoreFault::kNone, true,
     StoreStatus::kConflict, false},
    {"refused", StoreFault::kUnavailable, false, StoreStatus::kUnavailable,
     false},
    {"answer lost", StoreFault::kAnswerLost, false, StoreStatus::kUnknown,
     true},
    {"call lost", StoreFault::kCallLost, false, StoreStatus::kUnknown, false},
};

template <class Store>
void CheckWrites() {
  for (const WriteCase& write_case : kWriteCases) {
    Store store;
    if (write_case.exists) {
      cr_assert(store.Swap("k", 0, "old").status == StoreStatus::kOk);
    }
    store.PlanFault(write_case.fault);
    const StoreResult result = store.Swap("k", 0, "new");
    cr_assert(result.status == write_case.expected_status, "%s: %d",
              write_case.name, static_cast<int>(result.status));
    const StoreResult current = store.Get("k");
    cr_assert(current.status == StoreStatus::kOk, "%s", write_case.name);
    cr_assert((current.value == "new") == write_case.takes_effect, "%s",
              write_case.name);
    if (write_case.expected_status == StoreStatus::kConflict) {
      cr_assert(result.value == "old", "%s", write_case.name);
    }
  }
}

template <class Store>
void CheckReads() {
  for (const StoreFault fault :
       {StoreFault::kUnavailable, StoreFault::kCallLost}) {
    Store store;
    cr_assert(store.Get("k").revision == 0);
    store.PlanFault(fault);
    cr_assert(store.Get("k").status == StoreStatus::kUnavailable);
  }
}

template <class Store>
void CheckRevisions() {
  Store store;
  const StoreResult first = store.Swap("k", 0, "a");
  const StoreResult second = store.Swap("k", first.revision, "b");
  cr_assert(second.revision > first.revision);
  const StoreResult stale = store.Swap("k", first.revision, "c");
  cr_assert(stale.status == StoreStatus::kConflict);
  cr_assert(stale.revision == second.revision);
}

}  // namespace

Test(store_contract, writes_to_the_fake_store) {
  CheckWrites<FakeStoreUnderTest>();
}

Test(store_contract, writes_to_the_http_store) {
  CheckWrites<HttpStoreUnderTest>();
}

Test(store_contract, reads_from_the_fake_store) {
  CheckReads<FakeStoreUnderTest>();
}

Test(store_contract, reads_from_the_http_store) {
  CheckReads<HttpStoreUnderTest>();
}

Test(store_contract, revisions_of_the_fake_store) {
  CheckRevisions<FakeStoreUnderTest>();
}

Test(store_contract, revisions_of_the_http_store) {
  CheckRevisions<HttpStoreUnderTest>();
}

Test(store_contract, a_watch_returns_when_the_key_changes) {
  HttpStoreUnderTest store_under_test;
  const StoreResult first = store_under_test.Swap("k", 0, "a");
  const StoreResult waited =
      store_under_test.Wait([&](StorePort::Callback callback) {
        store_under_test.store().Watch(
            "k", first.revision, std::chrono::seconds(20), std::move(callback));
        store_under_test.store().CompareAndSwap("k", first.revision, "b",
                                                [](const StoreResult&) {});
      });
  cr_assert(waited.value == "b");
  const StoreResult unchanged =
      store_under_test.Wait([&](StorePort::Callback callback) {
        store_under_test.store().Watch("k", waited.revision,
                                       std::chrono::milliseconds(20),
                                       std::move(callback));
      });
  cr_assert(unchanged.revision == waited.revision);
}
