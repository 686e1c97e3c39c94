// Embeds the ledger and the detector of mustardpond in another program.
#include <decision/ledger.h>
#include <decision/sequentialdetector.h>

#include <iostream>

using namespace mustardpond;

int main()
{
    SeededRandom random(1);
    ManualClock clock;
    Ledger ledger(newIncarnation(random), LedgerLimits());
    const auto id = ledger.open("muhur", "inspectors", clock.now());
    const OperationBinding binding{"muhur", "inspectors", 42};
    const bool first = ledger.begin(*id, binding, clock.now()) == OperationAdmission::Run;
    const bool second = ledger.begin(*id, binding, clock.now()) == OperationAdmission::Run;

    SequentialDetector detector(profileForCost(10));
    for (const char *upstream : {"a", "b", "c"}) {
        detector.setUpstream(upstream, 5);
    }
    for (std::uint64_t attempt = 1; attempt <= 10; ++attempt) {
        detector.onStart({attempt, "a", "lookup", Millis(100)}, clock.now());
        detector.onFinish(attempt, AttemptResult::Failed, Millis(1), clock.now());
    }
    detector.tick(clock.now());
    std::cout << "runs: " << first + second << ", weight of a: " << detector.weight("a", "lookup", clock.now()) << "\n";
    return first && !second && detector.weight("a", "lookup", clock.now()) == 0 ? 0 : 1;
}
