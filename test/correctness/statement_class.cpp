/// \file statement_class.cpp
/// Guards against a write that is classified as a read and so sent to a replica.
#include "anvilmount/decisions/statement_class.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;

namespace {

struct sample {
    const char* m_sql;
    statement_kind m_kind;
};

constexpr sample samples[] = {
    {"SELECT 1", statement_kind::read},
    {"select v from t where id = $1", statement_kind::read},
    {"SELECT count(*), max(v) FROM t", statement_kind::read},
    {"-- price\nSELECT v FROM t", statement_kind::read},
    {"WITH x AS (SELECT 1) SELECT * FROM x", statement_kind::read},
    {"VALUES (1), (2)", statement_kind::read},
    {"SELECT 'update t set v = 1'", statement_kind::read},
    {"SELECT \"update\" FROM t", statement_kind::read},
    {"SELECT $$; DELETE FROM t$$", statement_kind::read},
    {"SELECT * FROM t FOR UPDATE", statement_kind::write},
    {"SELECT * FROM t FOR NO KEY UPDATE", statement_kind::write},
    {"SELECT nextval('s')", statement_kind::write},
    {"SELECT my_function(1)", statement_kind::write},
    {"SELECT x.count(1)", statement_kind::write},
    {"SELECT * INTO u FROM t", statement_kind::write},
    {"WITH x AS (DELETE FROM t RETURNING *) SELECT * FROM x", statement_kind::write},
    {"INSERT INTO t VALUES (1)", statement_kind::write},
    {"EXPLAIN ANALYZE DELETE FROM t", statement_kind::write},
    {"SELECT 'not ended", statement_kind::write},
    {"SELECT /* not ended", statement_kind::write},
    {"BEGIN", statement_kind::begin},
    {"START TRANSACTION READ ONLY", statement_kind::begin_read_only},
    {"COMMIT", statement_kind::end},
    {"ROLLBACK TO SAVEPOINT a", statement_kind::transaction_local},
    {"SAVEPOINT a", statement_kind::transaction_local},
    {"SET LOCAL x = 1", statement_kind::transaction_local},
    {"SET x = 1", statement_kind::session_state},
    {"SET anvilmount.rank = 1", statement_kind::session_set},
    {"SHOW anvilmount.session_token", statement_kind::session_show},
    {"LISTEN a", statement_kind::session_state},
    {"PREPARE a AS SELECT 1", statement_kind::session_state},
    {"CREATE TEMP TABLE a (b int)", statement_kind::session_state},
    {"COPY t FROM STDIN", statement_kind::copy},
    {"", statement_kind::empty},
    {" ; ", statement_kind::empty},
};

}

BOOST_AUTO_TEST_CASE(each_statement_is_classified) {
    for (const sample& each : samples) {
        BOOST_TEST_CONTEXT(each.m_sql) {
            const script_traits script = classify_script(each.m_sql);
            BOOST_TEST(script.m_statements.size() == 1U);
            BOOST_TEST(static_cast<int>(script.m_statements.front().m_kind) ==
                       static_cast<int>(each.m_kind));
        }
    }
}

BOOST_AUTO_TEST_CASE(a_script_with_a_write_is_not_read_only) {
    BOOST_TEST(classify_script("SELECT 1; SELECT 2").is_read_only());
    BOOST_TEST(!classify_script("SELECT 1; DELETE FROM t").is_read_only());
    BOOST_TEST(!classify_script("BEGIN; SELECT 1; COMMIT").is_read_only());
}

BOOST_AUTO_TEST_CASE(settings_are_read_from_a_leading_comment_only) {
    const script_traits script = classify_script("/* anvilmount: rank=1, max_staleness=500 */ SELECT 1");
    BOOST_TEST(script.m_hints.size() == 2U);
    BOOST_TEST(script.m_hints[0].m_name == "rank");
    BOOST_TEST(script.m_hints[1].m_value == "500");
    BOOST_TEST(classify_script("/* other: rank=1 */ SELECT 1").m_hints.empty());
    BOOST_TEST(classify_script("SELECT 1 /* anvilmount: rank=1 */").m_hints.empty());
}

BOOST_AUTO_TEST_CASE(table_names_are_found_in_lower_case) {
    const script_traits script = classify_script("SELECT * FROM Orders JOIN \"Stock\" ON a = b");
    const std::vector<std::string> expected{"orders", "stock"};
    BOOST_TEST(script.m_statements.front().m_tables == expected, boost::test_tools::per_element());
}
