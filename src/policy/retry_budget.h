#ifndef GUAVACROSS_POLICY_RETRY_BUDGET_H_
#define GUAVACROSS_POLICY_RETRY_BUDGET_H_

namespace guavacross::policy {

/// How far an attempt got that is to be retried.
enum class AttemptProgress {
  /// It was not run: the connection failed, or the target refused it as not
  /// run.
  kNotRun,
  /// It may have run, and may have called further services.
  kMayHaveRun,
};

/// A common budget for retries and hedges, proportional to the number of
/// requests.
///
/// Each request deposits the share and each extra attempt withdraws at least 1,
/// so extra attempts never exceed the share of the requests since the start.
/// The balance is capped, so that a long healthy period doesn't fund a retry
/// storm.
///
/// A call chain may pass through many load balancers. If each spent its whole
/// share, a failure at the end of 13 calls would be amplified by 1.1^13 = 3.5.
/// An attempt that was not run caused no further calls; repeating it costs 1 at
/// any depth. Repeating one that may have run costs (1 + hops)^2, so that the
/// amplification by the whole chain stays below the product of 1 +
/// share/(1+h)^2, which is less than 1.18 for a share of 0.1 and any depth. Not
/// thread safe.
class RetryBudget {
 public:
  /// Default limit of the balance, in extra attempts.
  static constexpr double kDefaultMaxBalance = 25;

  /// Sets the limit of the balance; any excess is lost.
  void SetMaxBalance(double max_balance);

  /// Deposits the share for a new request, not for a retry or hedge of one.
  void Deposit(double share);

  /// Withdraws the cost of one extra attempt of a request that has passed
  /// `hops` load balancers before this one, if at least `reserve` then remains.
  /// Returns false and withdraws nothing otherwise.
  bool TryWithdraw(AttemptProgress progress, int hops, double reserve = 0);

  /// The part of the largest balance that is kept for requests whose callers
  /// have come back after a refusal.
  ///
  /// When the targets refuse many requests, such as when all of them shed 40 %,
  /// the budget covers only a part of the retries. A caller that is refused can
  /// come back once at no cost to the budget; one that has already done so has
  /// no other chance left than a retry here.
  double ReserveForReturned() const;

 private:
  double m_balance = 0;
  double m_max_balance = kDefaultMaxBalance;
};

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_RETRY_BUDGET_H_
